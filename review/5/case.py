"""Single runners crash one after the other, while jobs of longer tasks are at work."""

import asyncio
import json
import random

from cell import Cell, main, queue

CAPACITY = {"cpu": 32_000, "mem_mb": 131_072, "gpu": 0}
PREFIX = "/desk/"
RUNNERS = 8
JOBS = [f"{0xE000 + number:016x}" for number in range(24)]
TASK_MS = 9_000
CRASHES = 26
CRASH_EVERY_S = 2.0
DOWN_S = 1.0
SEED = 7


def job() -> dict:
    """Return a job of one step of four tasks."""
    step = {"count": 4, "cpu": 3500, "mem_mb": 4096, "estimate_ms": TASK_MS}
    return {"spec": json.dumps({"ms": TASK_MS}), "steps": [step]}


async def crash_in_turn(record, cell: Cell) -> None:
    """Let one runner after the other crash, each of them down for a second."""
    rng = random.Random(SEED)
    for _ in range(CRASHES):
        runner = cell.runners[rng.choice(sorted(cell.runners))]
        record.write(f"{runner.name} crashes, {len(runner.runs)} tasks are at work there")
        runner.crash()
        await asyncio.sleep(DOWN_S)
        await runner.start()
        record.write(f"{runner.name} is back")
        await asyncio.sleep(CRASH_EVERY_S - DOWN_S)


async def case(record, trouble: bool) -> list[str]:
    async with Cell(record) as cell:
        for number in range(RUNNERS):
            await cell.add_runner(f"i-desk-{number}", "order-desk", CAPACITY)
        cell.configure(1, [queue("plan", PREFIX, "order-desk", max_attempts=4)], ["order-desk"])
        await cell.start()
        accepted = []
        for number, id in enumerate(JOBS):
            answer = await cell.call(number % 3, "POST", PREFIX + id, job())
            if answer and answer[0] == 200:
                accepted.append(id)
        await asyncio.sleep(1)
        if trouble:
            await crash_in_turn(record, cell)
        else:
            await asyncio.sleep(CRASHES * CRASH_EVERY_S / 2)
        await asyncio.sleep(5)
        broken = []
        for number, id in enumerate(accepted):
            answer = await cell.call(number % 3, "GET", PREFIX + id)
            failed = [e for e in record.ends if e[2].startswith(id) and e[4] == "failed"]
            if answer and answer[1].get("state") == "failed" and not failed:
                lost = sum(1 for e in record.ends if e[2].startswith(id) and e[4] == "gone")
                broken.append(
                    f"LOST: the job {id} is shown as failed; none of its runs ended failed, "
                    f"{lost} were lost with their runner"
                )
        return broken


main(case)
