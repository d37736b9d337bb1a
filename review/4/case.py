"""One task crashes each runner that starts it; the runner is back under its id."""

import asyncio
import json

from cell import Cell, main, queue

CAPACITY = {"cpu": 32_000, "mem_mb": 131_072, "gpu": 0}
PREFIX = "/desk/"
JOB = f"{0xD1:016x}"
TASK = f"{JOB}.0.0.0"
CRASH_MS = 10
WATCH_S = 36
CRASHES_BEFORE, STARTS_MORE = 3, 3
"""The rule is broken by so many starts after so many crashes."""


def job(trouble: bool) -> dict:
    """Return a job of one task, which crashes its runner or is done after a while."""
    spec = json.dumps({"crash_ms": CRASH_MS} if trouble else {"ms": 800})
    step = {"count": 1, "cpu": 3000, "mem_mb": 1024, "estimate_ms": 800}
    return {"spec": spec, "steps": [step]}


async def case(record, trouble: bool) -> list[str]:
    """Play the case; return what broke the rule."""
    async with Cell(record) as cell:
        for number in range(8):
            await cell.add_runner(f"i-desk-{number}", "order-desk", CAPACITY)
        cell.configure(1, [queue("quotes", PREFIX, "order-desk")], ["order-desk"])
        await cell.start()
        await cell.call(0, "POST", PREFIX + JOB, job(trouble))
        end_s = record.now_s() + WATCH_S
        answer = None
        while record.now_s() < end_s:
            await asyncio.sleep(1.5)
            answer = await cell.call(1, "GET", PREFIX + JOB)
            if answer and answer[1].get("state") in ("failed", "completed"):
                break
        crashes = [end[0] for end in record.ends if end[2] == TASK and end[4] == "gone"]
        starts = [start[0] for start in record.starts if start[2] == TASK]
        if len(crashes) < CRASHES_BEFORE:
            return []
        third_s = sorted(crashes)[CRASHES_BEFORE - 1]
        later = [at_s for at_s in starts if at_s > third_s]
        if len(later) < STARTS_MORE:
            return []
        return [
            f"BUDGET: {TASK} was started {len(later)} times more after "
            f"{CRASHES_BEFORE} runners had crashed under it; {len(crashes)} crashes "
            f"in {WATCH_S} s, last state {answer}"
        ]


main(case)
