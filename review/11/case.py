"""Owners freeze and wake in turn, beside runners that serve 64 channels each.

In the end an accepted job has to run, as both runners are idle.
"""

import asyncio
import os
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-3"))

from deployment import SERVICE, Deployment, run_case  # noqa: E402
from platform_standin import Runner  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CHANNELS_MAX = 64
FREEZES_MAX = 5
FREEZE_S = 4.0
CONTACT_S = 4.0
FINISH_S = 14.0
TASKS = 32


async def run_jobs(deployment, phase, front):
    """Hand in a job for each runner; return whether both end in time."""
    step = {"count": TASKS, "cpu": 1000, "mem_mb": 512, "estimate_ms": 500}
    jobs = [f"{phase:015x}{number}" for number in range(2)]
    for job in jobs:
        if not await deployment.submit(job, [step], 0.5, front):
            return False
    return all([await deployment.wait_completed(job, 12.0) for job in jobs])


def write_channels(record, runners):
    """Record how many channels each runner has."""
    for runner in runners:
        record.write(
            f"{runner.name} has {runner.open_count} open channels, "
            f"{runner.reset_count} were reset"
        )


async def main():
    """Return the exit code."""
    async with Deployment(FOLDER / "record.txt", node_count=6) as deployment:
        store, record = deployment.store, deployment.record
        runners = [
            Runner(store, record, name, SERVICE, "large", 32_000)
            for name in ("i-aa01", "i-aa02")
        ]
        for runner in runners:
            runner.connections_max = CHANNELS_MAX
            await runner.open()
        try:
            if not await deployment.start_nodes():
                return 2
            if not await run_jobs(deployment, 1, 0):
                return 2
            former = set()
            # A node that has owned the service before still has its channels.
            for phase in range(2, FREEZES_MAX + 2):
                owner = deployment.holder()
                is_new = owner not in former
                former.add(owner)
                if len(former) > 2 and is_new:
                    break
                if TROUBLE:
                    deployment.signal(owner, signal.SIGSTOP)
                    await asyncio.sleep(FREEZE_S)
                    deployment.signal(owner, signal.SIGCONT)
                else:
                    await asyncio.sleep(FREEZE_S)
                await asyncio.sleep(1.0)
                write_channels(record, runners)
                if len(former) < 2 or deployment.holder() in former:
                    await run_jobs(deployment, phase, 0)
                if not TROUBLE and phase == 3:
                    break
            await asyncio.sleep(CONTACT_S)
            job = "00000000000000ff"
            step = {"count": 2, "cpu": 1300, "mem_mb": 512, "estimate_ms": 500}
            if not await deployment.submit(job, [step], 0.5):
                return 2
            is_completed = await deployment.wait_completed(job, FINISH_S)
            write_channels(record, runners)
            if is_completed:
                record.write("the rule held")
                return 0
            starts = sum(run.task.startswith(job) for r in runners for run in r.history)
            record.write(
                f"LOST: {job} was accepted, has {starts} starts and is not completed"
            )
            record.write("the rule was broken")
            return 1
        finally:
            for runner in runners:
                runner.close()


if __name__ == "__main__":
    sys.exit(run_case(main))
