"""A start gets no answer, and is carried out late by the runner's next life.

Meanwhile the runner has confirmed the stop of that run and the task runs elsewhere.
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
JOB = "00000000000000bb"
RUNNERS = 8
CRASH_AFTER_S = 2.0
DARK_S = 0.6
LATE_AFTER_BOOT_S = 0.1


class LateOrders:
    """Starts of one job that a runner leaves unanswered, to carry them out later."""

    def __init__(self, record):
        self._record = record
        self.runner = None
        self.orders = []
        self.other_started = asyncio.Event()

    def on_order(self, runner, path, order):
        """Return whether an order is carried out now."""
        if path != "/-/run-start" or not order["task"].startswith(JOB):
            return True
        if self.runner in (None, runner) and not self.other_started.is_set():
            self.runner = runner
            self.orders.append(order)
            self._record.write(
                f"{runner.name} leaves the start of {order['task']} run {order['run']} "
                "unanswered"
            )
            return False
        if runner is not self.runner:
            self.other_started.set()
        return True


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
            step = {"count": 4, "cpu": 2000, "mem_mb": 512, "estimate_ms": 300}
            if not await deployment.submit("0000000000000001", [step], 0.3):
                return 2
            if not await deployment.wait_completed("0000000000000001", 15.0):
                return 2
            await asyncio.sleep(1.0)
            late = LateOrders(record)
            if TROUBLE:
                for runner in runners:
                    runner.on_order = late.on_order
            # A task needs most of a runner, so the two jobs begin on different ones.
            # The first one ends early, and its runner is then preferred.
            step = {"count": 1, "cpu": 20000, "mem_mb": 512, "estimate_ms": 2000}
            if not await deployment.submit("0000000000000002", [step], 0.4):
                return 2
            step = {"count": 1, "cpu": 20000, "mem_mb": 512, "estimate_ms": 8000}
            if not await deployment.submit(JOB, [step], 8.0):
                return 2
            if TROUBLE:
                try:
                    await asyncio.wait_for(late.other_started.wait(), 10.0)
                except TimeoutError:
                    record.write("the task did not start on another runner")
                    return 2
                await asyncio.sleep(CRASH_AFTER_S)
                late.runner.go_dark()
                await asyncio.sleep(DARK_S)
                late.runner.boot(0.0)
                await asyncio.sleep(LATE_AFTER_BOOT_S)
                order = late.orders[-1]
                record.write(
                    f"{late.runner.name} carries out the unanswered start of {JOB} now"
                )
                await late.runner.carry_out("/-/run-start", order)
            if not await deployment.wait_completed(JOB, 40.0):
                record.write("the job is not completed")
                return 2
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
