"""A runner is cut off for seconds while more than 500 short tasks end on it."""

import asyncio
import json

from cell import Cell, main, queue
from rules import find_repeated_runs

CAPACITY = {"cpu": 32_000, "mem_mb": 131_072, "gpu": 0}
PREFIX = "/desk/"
RUNNERS = 6
JOBS = [f"{number:016x}" for number in range(0xC1, 0xC9)]
TASKS = 80
FIRST_END_MS, LAST_END_MS = 2_000, 3_500
CUT_S = 2.5
ONE_WAY_S = 0.03
"""Between two regions, as on the sheets; the runners stand in another region."""


def job() -> dict:
    """Return a job of one step of 80 small tasks that end one after the other."""
    spread_ms = LAST_END_MS - FIRST_END_MS
    spec = json.dumps({"ms": FIRST_END_MS, "spread_ms": spread_ms, "of": TASKS})
    step = {"count": TASKS, "cpu": 50, "mem_mb": 64, "estimate_ms": 3000}
    return {"spec": spec, "steps": [step]}


async def case(record, trouble: bool) -> list[str]:
    """Play the case; return what broke the rule."""
    async with Cell(record) as cell:
        for number in range(RUNNERS):
            runner = await cell.add_runner(f"i-desk-{number}", "order-desk", CAPACITY)
            runner.server.one_way_s = ONE_WAY_S
        cell.configure(1, [queue("quotes", PREFIX, "order-desk")], ["order-desk"])
        await cell.start()
        for number, id in enumerate(JOBS):
            await cell.call(number % 3, "POST", PREFIX + id, job())
            await asyncio.sleep(0.05)
        await asyncio.sleep(1.2)
        if trouble:
            runner = max(cell.runners.values(), key=lambda r: len(r.runs))
            record.write(
                f"{runner.name} is cut off, {len(runner.runs)} tasks are at work there"
            )
            runner.server.silent = True
            await asyncio.sleep(CUT_S)
            record.write(
                f"{runner.name} is back, {len(runner.finished)} ends to be listed"
            )
            runner.server.silent = False
        else:
            await asyncio.sleep(CUT_S)
        await asyncio.sleep(12)
        return find_repeated_runs(record, JOBS)


main(case)
