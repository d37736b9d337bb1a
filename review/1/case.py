"""Two runners crash, then the machines restart in turn: new jobs are never started."""

import asyncio
import json
import signal

from cell import Cell, main, queue

CORES, MEMORY_MB = 32_000, 131_072
CAPACITY = {"cpu": CORES, "mem_mb": MEMORY_MB, "gpu": 0}
PREFIX = "/desk/"
RUNNERS = 8
WATCHES = [f"{0xA100 + number:016x}" for number in range(8)]
JOBS = [f"{0xB100 + number:016x}" for number in range(4)]
WATCH_CORES, JOB_CORES, JOB_TASKS = 2_000, 3_000, 2
DOWN_S = 1.0
WORK_S = 2.6
TERM_GAP_S = 1.3
FINISH_S, STANDS_S = 14.0, 3.0


def watch() -> dict:
    """Return a job of one task that lasts."""
    step = {"count": 1, "cpu": WATCH_CORES, "mem_mb": 4096, "estimate_ms": 400}
    step["long_running"] = True
    return {"spec": json.dumps({"lasts": True}), "steps": [step]}


def job() -> dict:
    """Return a job of one step of two short tasks."""
    step = {"count": JOB_TASKS, "cpu": JOB_CORES, "mem_mb": 1024, "estimate_ms": 500}
    return {"spec": json.dumps({"ms": 500}), "steps": [step]}


async def crash_busiest(record, cell: Cell) -> None:
    """Let the runner with the most tasks crash; it is back under its id."""
    runner = max(cell.runners.values(), key=lambda r: len(r.runs))
    record.write(f"{runner.name} crashes, {len(runner.runs)} tasks are at work there")
    runner.crash()
    await asyncio.sleep(DOWN_S)
    await runner.start()


async def restart(record, node) -> None:
    """Stop a machine's process with SIGTERM, and start it again when it has ended."""
    record.write(f"SIGTERM to {node.name}")
    node.process.send_signal(signal.SIGTERM)
    await asyncio.to_thread(node.process.wait)
    node.start()
    record.write(f"{node.name} starts again")


def note_load(record, cell: Cell) -> None:
    """Record how many tasks each runner has."""
    counts = {runner.name: len(runner.runs) for runner in cell.runners.values()}
    record.write(f"tasks at work: {counts}")


def find_standing(cell: Cell, record, accepted: list[str]) -> set[str]:
    """Return the jobs of which no task runs or has run, though there is room."""
    runs = [task for runner in cell.runners.values() for task in runner.runs]
    used = sum(WATCH_CORES if t.split(".")[0] in WATCHES else JOB_CORES for t in runs)
    free = RUNNERS * CORES - used
    if free < 2 * JOB_TASKS * JOB_CORES or used >= RUNNERS * CORES / 2:
        return set()
    begun = {start[2].split(".")[0] for start in record.starts}
    return {id for id in accepted if id not in begun}


async def case(record, trouble: bool) -> list[str]:
    """Play the case; return what broke the rule."""
    async with Cell(record) as cell:
        for number in range(RUNNERS):
            await cell.add_runner(f"i-desk-{number}", "order-desk", CAPACITY)
        cell.configure(1, [queue("watch", PREFIX, "order-desk")], ["order-desk"])
        await cell.start()
        for number, id in enumerate(WATCHES):
            await cell.call(number % 3, "POST", PREFIX + id, watch())
        await asyncio.sleep(3)
        if trouble:
            for _ in range(2):
                await crash_busiest(record, cell)
                await asyncio.sleep(WORK_S)
                note_load(record, cell)
            restarts = []
            for node in cell.nodes:
                restarts.append(asyncio.create_task(restart(record, node)))
                await asyncio.sleep(TERM_GAP_S)
            await asyncio.gather(*restarts)
        await asyncio.sleep(8)
        note_load(record, cell)
        accepted = []
        for number, id in enumerate(JOBS):
            answer = await cell.call(number % 3, "POST", PREFIX + id, job())
            if answer and answer[0] == 200:
                accepted.append(id)
        await asyncio.sleep(FINISH_S)
        standing = find_standing(cell, record, accepted)
        for _ in range(round(STANDS_S / 0.25) + 1):
            await asyncio.sleep(0.25)
            standing &= find_standing(cell, record, accepted)
        note_load(record, cell)
        broken = []
        for number, id in enumerate(sorted(standing)):
            answer = await cell.call(number % 3, "GET", PREFIX + id)
            broken.append(
                f"LOST: for 3 s, {FINISH_S:.0f} s after the last of the jobs, nothing "
                f"of the accepted job {id} runs or has run; it is shown as {answer}"
            )
        return broken


main(case)
