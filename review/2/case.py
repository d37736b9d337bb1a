"""Each runner fails what it starts for seconds, in turn: new jobs never start."""

import asyncio
import json

from cell import Cell, main, queue

CORES = 32_000
CAPACITY = {"cpu": CORES, "mem_mb": 131_072, "gpu": 0}
PREFIX = "/desk/"
RUNNERS = 12
WATCH = f"{0xA1:016x}"
JOBS = [f"{0xC100 + number:016x}" for number in range(4)]
GREY_S, LOAD_EVERY_S = 3.0, 0.4
FINISH_S, STANDS_S = 14.0, 3.0
WATCH_CORES, JOB_CORES = 2_000, 1_000


def job(count: int) -> dict:
    """Return a job of short tasks, at most one of them on a runner."""
    step = {"count": count, "cpu": JOB_CORES, "mem_mb": 512, "estimate_ms": 200}
    step["anti_affinity"] = 1
    return {"spec": json.dumps({"ms": 200}), "steps": [step]}


def watch() -> dict:
    """Return a job of tasks that last, one on each runner."""
    step = {"count": RUNNERS, "cpu": WATCH_CORES, "mem_mb": 1024, "estimate_ms": 400}
    step |= {"anti_affinity": 1, "long_running": True}
    return {"spec": json.dumps({"lasts": True}), "steps": [step]}


def find_standing(cell: Cell, record, accepted: list[str]) -> set[str]:
    """Return the jobs of which no task runs or has run, though there is room."""
    runs = [task for runner in cell.runners.values() for task in runner.runs]
    used = sum(WATCH_CORES if t.startswith(WATCH) else JOB_CORES for t in runs)
    if used >= RUNNERS * CORES / 2:
        return set()
    begun = {start[2].split(".")[0] for start in record.starts}
    return {id for id in accepted if id not in begun}


async def case(record, trouble: bool) -> list[str]:
    """Play the case; return what broke the rule."""
    async with Cell(record) as cell:
        for number in range(RUNNERS):
            await cell.add_runner(f"i-desk-{number:02}", "order-desk", CAPACITY)
        route = queue("quotes", PREFIX, "order-desk", max_attempts=4)
        cell.configure(1, [route], ["order-desk"])
        await cell.start()
        await cell.call(0, "POST", PREFIX + WATCH, watch())
        await asyncio.sleep(2)
        sent = 0
        for runner in cell.runners.values():
            runner.fails_all = trouble
            record.write(f"{runner.name} fails what it starts: {trouble}")
            end_s = record.now_s() + GREY_S
            while record.now_s() < end_s:
                id = f"{0xB1000 + sent:016x}"
                await cell.call(sent % 3, "POST", PREFIX + id, job(RUNNERS))
                sent += 1
                await asyncio.sleep(LOAD_EVERY_S)
            runner.fails_all = False
        await asyncio.sleep(8)
        accepted = []
        for number, id in enumerate(JOBS):
            answer = await cell.call(number % 3, "POST", PREFIX + id, job(1))
            if answer and answer[0] == 200:
                accepted.append(id)
        await asyncio.sleep(FINISH_S)
        standing = find_standing(cell, record, accepted)
        for _ in range(round(STANDS_S / 0.25) + 1):
            await asyncio.sleep(0.25)
            standing &= find_standing(cell, record, accepted)
        counts = {runner.name: len(runner.runs) for runner in cell.runners.values()}
        record.write(f"tasks at work: {counts}")
        return [
            f"LOST: for 3 s, {FINISH_S:.0f} s after the last of the jobs, nothing of "
            f"the accepted job {id} runs or has run"
            for id in sorted(standing)
        ]


main(case)
