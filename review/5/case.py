"""A desired state adds a service whose name begins with that of another and a dot."""

import asyncio
import json

from cell import Cell, NotRunError, main, queue
from rules import find_repeated_runs

CAPACITY = {"cpu": 32_000, "mem_mb": 131_072, "gpu": 0}
TASK_MS = 3_000
FIRST, SECOND = "inspect", "inspect.gpu"


def job() -> dict:
    """Return a job of one step of two tasks."""
    step = {"count": 2, "cpu": 3000, "mem_mb": 1024, "estimate_ms": TASK_MS}
    return {"spec": json.dumps({"ms": TASK_MS}), "steps": [step]}


async def case(record, trouble: bool) -> list[str]:
    """Play the case; return what broke the rule."""
    async with Cell(record) as cell:
        # The disruption is the new service; without it, its queue goes to another one.
        second = SECOND if trouble else "desk"
        for number in range(3):
            await cell.add_runner(f"i-first-{number}", FIRST, CAPACITY)
            await cell.add_runner(f"i-second-{number}", second, CAPACITY)
        routes = [queue("scan", "/scan/", FIRST)]
        cell.configure(1, routes, [FIRST])
        await cell.start()
        routes = [*routes, queue("flag", "/flag/", second)]
        cell.configure(4, routes, [FIRST, second])
        await asyncio.sleep(5)
        accepted = []
        for number in range(12):
            id = f"{0xF100 + number:016x}"
            answer = await cell.call(number % 3, "POST", f"/flag/{id}", job())
            if answer and answer[0] == 200:
                accepted.append(id)
            await asyncio.sleep(0.4)
        await asyncio.sleep(8)
        # Not judged, as the rule of the case is TWICE: starts that break ROUTE.
        for _, runner, task, run in record.starts:
            if (
                task.split(".")[0] in accepted
                and cell.runners[runner].service != second
            ):
                record.write(f"ROUTE: {task} run {run} started on {runner} of {FIRST}")
        broken = find_repeated_runs(record, accepted)
        if len(accepted) < 6:
            raise NotRunError(f"only {len(accepted)} of 12 jobs were accepted")
        return broken


main(case)
