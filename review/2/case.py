"""The state of accepted jobs is asked for after their queue has changed its service."""

import asyncio
import json

from cell import Cell, main, queue

CAPACITY = {"cpu": 32_000, "mem_mb": 131_072, "gpu": 0}
PREFIX = "/desk/"
JOBS = [f"{number:016x}" for number in range(0xB1, 0xB7)]
VISIBLE_S = 3.0


def job() -> dict:
    """Return a job of one task that lasts."""
    step = {"count": 1, "cpu": 3000, "mem_mb": 1024, "estimate_ms": 500, "long_running": True}
    return {"spec": json.dumps({"lasts": True}), "steps": [step]}


async def case(record, trouble: bool) -> list[str]:
    async with Cell(record) as cell:
        for number in range(3):
            await cell.add_runner(f"i-desk-{number}", "order-desk", CAPACITY)
            await cell.add_runner(f"i-inspect-{number}", "inspect", CAPACITY)
        services = ["order-desk", "inspect"]
        cell.configure(1, [queue("watch", PREFIX, "order-desk")], services)
        await cell.start()
        accepted: dict[str, float] = {}
        for number, id in enumerate(JOBS):
            answer = await cell.call(number % 3, "POST", PREFIX + id, job())
            if answer and answer[0] == 200:
                accepted[id] = record.now_s()
        await asyncio.sleep(2)
        if trouble:
            cell.configure(5, [queue("watch", PREFIX, "inspect")], services)
        await asyncio.sleep(8)
        broken = []
        for number, (id, since_s) in enumerate(accepted.items()):
            for node in range(3):
                asked_s = record.now_s()
                answer = await cell.call(node, "GET", PREFIX + id)
                if answer and answer[0] == 410 and asked_s - since_s > VISIBLE_S:
                    broken.append(
                        f"LOST: GET for the accepted job {id} is answered 410, "
                        f"{asked_s - since_s:.1f} s after its 200"
                    )
        # Not judged: what a cancel of these jobs does.
        for number, id in enumerate(accepted):
            await cell.call(number % 3, "DELETE", PREFIX + id)
        await asyncio.sleep(5)
        left = {r.name: list(r.runs) for r in cell.runners.values() if r.runs}
        record.write(f"5 s after the cancels, at work: {left}")
        return broken


main(case)
