"""A job is handed in again, seconds after its 200, as its queue changes its service."""

import asyncio
import json

from cell import Cell, main, queue
from rules import find_repeated_runs

CAPACITY = {"cpu": 32_000, "mem_mb": 131_072, "gpu": 0}
PREFIX = "/desk/"
JOBS = [f"{number:016x}" for number in range(0xA1, 0xA9)]
TASK_MS = 6_000


def job() -> dict:
    """Return a job of one step of two tasks."""
    spec = json.dumps({"ms": TASK_MS})
    step = {"count": 2, "cpu": 3000, "mem_mb": 1024, "estimate_ms": TASK_MS}
    return {"spec": spec, "steps": [step]}


async def case(record, trouble: bool) -> list[str]:
    """Play the case; return what broke the rule."""
    async with Cell(record) as cell:
        for number in range(3):
            await cell.add_runner(f"i-desk-{number}", "order-desk", CAPACITY)
            await cell.add_runner(f"i-inspect-{number}", "inspect", CAPACITY)
        services = ["order-desk", "inspect"]
        cell.configure(1, [queue("quotes", PREFIX, "order-desk")], services)
        await cell.start()
        answers = await asyncio.gather(
            *(cell.call(n % 3, "POST", PREFIX + id, job()) for n, id in enumerate(JOBS))
        )
        accepted = [
            id for id, a in zip(JOBS, answers, strict=True) if a and a[0] == 200
        ]
        if trouble:
            cell.configure(5, [queue("quotes", PREFIX, "inspect")], services)
        # The new version is in force everywhere 3 s after its confirmation.
        await asyncio.sleep(3.5)
        # Not judged, as the rule of the case is TWICE: an answer 410 breaks LOST.
        for number, id in enumerate(accepted):
            answer = await cell.call(number % 3, "GET", PREFIX + id)
            if answer and answer[0] == 410:
                record.write(f"LOST: GET for the accepted job {id} is answered 410")
        await asyncio.gather(
            *(
                cell.call((n + 1) % 3, "POST", PREFIX + id, job())
                for n, id in enumerate(JOBS)
            )
        )
        await asyncio.sleep(12)
        return find_repeated_runs(record, accepted)


main(case)
