"""A runner leaves a start unanswered, is cut off, and crashes and starts again there.

Its next life, of which nobody can know, carries the start out late, when the task
already runs elsewhere.
"""

import asyncio
import os
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-3"))

from deployment import SERVICE, Deployment, run_case  # noqa: E402
from platform_standin import Runner  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
JOB = "00000000000000ee"
RUNNERS = 6
WARM_UP_S = 8.0
CUT_AFTER_S = 0.1
CRASH_AFTER_S = 0.5
DARK_S = 0.6
LATE_S = 6.0
CUT_S = 9.0
WORK_S = 4.0


class LateStart:
    """Notes the first start of one job, which its runner leaves unanswered."""

    def __init__(self, record):
        self._record = record
        self.runner = None
        self.order = None
        self.was_left = asyncio.Event()

    def on_order(self, runner, path, order):
        """Return whether an order is carried out now."""
        if self.order or path != "/-/run-start" or not order["task"].startswith(JOB):
            return True
        self.runner, self.order = runner, order
        self.was_left.set()
        self._record.write(
            f"{runner.name} leaves the start of {order['task']} unanswered"
        )
        return False


def overlaps(runners, now):
    """Return pairs of runs of one task that were at work at the same time."""
    runs = [
        run for runner in runners for run in runner.history if run.task.startswith(JOB)
    ]
    pairs = []
    for index, one in enumerate(runs):
        for other in runs[index + 1 :]:
            begin = max(one.begin, other.begin)
            end = min(one.end or now, other.end or now)
            if one.task == other.task and end > begin:
                pairs.append((one, other, begin, end))
    return pairs


async def disturb(late):
    """Cut off the runner, let it crash behind the cut, and carry the start out late."""
    await late.was_left.wait()
    runner = late.runner
    await asyncio.sleep(CUT_AFTER_S)
    runner.cut_off(is_silent=True)
    await asyncio.sleep(CRASH_AFTER_S)
    runner.go_dark()
    await asyncio.sleep(DARK_S)
    runner.boot(0.0)
    await asyncio.sleep(LATE_S - CUT_AFTER_S - CRASH_AFTER_S - DARK_S)
    runner.record.write(
        f"{runner.name} carries out the start of {late.order['task']} now"
    )
    await runner.carry_out("/-/run-start", late.order)
    await asyncio.sleep(CUT_S - LATE_S + CUT_AFTER_S)
    runner.end_cut()


async def main():
    """Return the exit code."""
    async with Deployment(FOLDER / "record.txt") as deployment:
        store, record = deployment.store, deployment.record
        runners = [
            Runner(store, record, f"i-aa0{number}", SERVICE, "large", 32_000)
            for number in range(1, RUNNERS + 1)
        ]
        for runner in runners:
            await runner.open()
        try:
            if not await deployment.start_nodes():
                return 2
            step = {"count": RUNNERS, "cpu": 20000, "mem_mb": 512, "estimate_ms": 300}
            if not await deployment.submit("0000000000000001", [step], 0.3):
                return 2
            if not await deployment.wait_completed("0000000000000001", 15.0):
                return 2
            await asyncio.sleep(WARM_UP_S)
            late, disturbance = LateStart(record), None
            if TROUBLE:
                for runner in runners:
                    runner.on_order = late.on_order
                disturbance = asyncio.create_task(disturb(late))
            step = {"count": RUNNERS, "cpu": 20000, "mem_mb": 512, "estimate_ms": 4000}
            if not await deployment.submit(JOB, [step], WORK_S):
                return 2
            if not await deployment.wait_completed(JOB, 50.0):
                record.write("the job is not completed")
                return 2
            if disturbance is not None:
                await disturbance
            pairs = overlaps(runners, record.now())
            for one, other, begin, end in pairs:
                record.write(
                    f"TWICE: {one.task} runs {one.number} and {other.number} were at "
                    f"work together from {begin:.3f} s to {end:.3f} s"
                )
            record.write("the rule was broken" if pairs else "the rule held")
            return 1 if pairs else 0
        finally:
            for runner in runners:
                runner.close()


if __name__ == "__main__":
    sys.exit(run_case(main))
