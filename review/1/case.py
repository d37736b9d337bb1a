"""A job is handed in again, seconds after its 200, while its queue changes its service."""

import asyncio
import json

from cell import Cell, main, queue

CAPACITY = {"cpu": 32_000, "mem_mb": 131_072, "gpu": 0}
PREFIX = "/desk/"
JOBS = [f"{number:016x}" for number in range(0xA1, 0xA9)]
TASK_MS = 4_000


def job() -> dict:
    """Return a job of one step of two tasks."""
    spec = json.dumps({"ms": TASK_MS})
    step = {"count": 2, "cpu": 3000, "mem_mb": 1024, "estimate_ms": TASK_MS}
    return {"spec": spec, "steps": [step]}


async def case(record, trouble: bool) -> list[str]:
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
        accepted = [id for id, a in zip(JOBS, answers, strict=True) if a and a[0] == 200]
        if trouble:
            cell.configure(5, [queue("quotes", PREFIX, "inspect")], services)
        # The new version is in force everywhere 3 s after its confirmation.
        await asyncio.sleep(3.5)
        await asyncio.gather(
            *(cell.call((n + 1) % 3, "POST", PREFIX + id, job()) for n, id in enumerate(JOBS))
        )
        await asyncio.sleep(12)
        return find_repeated_runs(record, accepted)


def find_repeated_runs(record, accepted: list[str]) -> list[str]:
    """Return the tasks that ran twice at a time, or started after a run was done."""
    broken = []
    for at_s, runner, task, run in record.starts:
        if task.split(".")[0] not in accepted:
            continue
        for other_s, other, its_task, its_run in record.starts:
            is_same_run = (other_s, other, its_run) == (at_s, runner, run)
            if its_task != task or other_s > at_s or is_same_run:
                continue
            ends = [e for e in record.ends if e[1:4] == (other, task, its_run)]
            if not ends or ends[0][0] > at_s:
                broken.append(f"TWICE: {task} starts on {runner} while it runs on {other}")
            elif ends[0][4] == "done" and (task, its_run, "done") in record.noted_ends:
                broken.append(f"TWICE: {task} starts on {runner} after it was done on {other}")
    return broken


main(case)
