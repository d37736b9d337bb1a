"""Resident memory and processor time of the programs, idle and with load."""

import asyncio

import msgspec

from basilhold.capacity.daemons import DAEMONS, DaemonUse, EntryVmDaemons

__all__ = ["DaemonReport", "IdleDaemons", "measure_daemons", "measure_idle_daemons"]

REQUEST_COUNTS = (500, 1_000, 2_000)
TASK_COUNTS = (100, 200, 400)
CALLERS = 8
PAGE_READS = 50
PAGES = ("/state", "/metrics")


class DaemonReport(msgspec.Struct, frozen=True):
    """What the programs of one entry VM use.

    Parameters
    ----------
    idle, loaded : dict of str to DaemonUse
        By program: after the start, and after all load.
    idle_cores : dict of str to float
        Processor time per second while nothing happens.
    request_cpu_ms : tuple of (int, float)
        Requests sent and the gateway's processor time for them.
    task_resident_kb : tuple of (int, float)
        Running tasks and the scheduler's resident size.
    task_cpu_ms : tuple of (int, float)
        Started tasks and the scheduler's processor time.
    pages : dict of str to tuple of (int, float)
        By program and page: its bytes and the processor time of one read, in ms.
    """

    idle: dict[str, DaemonUse]
    loaded: dict[str, DaemonUse]
    idle_cores: dict[str, float]
    request_cpu_ms: tuple[tuple[int, float], ...]
    task_resident_kb: tuple[tuple[int, float], ...]
    task_cpu_ms: tuple[tuple[int, float], ...]
    pages: dict[str, tuple[int, float]]


class IdleDaemons(msgspec.Struct, frozen=True):
    """What the programs use while no task starts and no request comes.

    Parameters
    ----------
    scheduler_ms, relay_ms, gateway_ms : float
        Processor time per second.
    scheduler_kb, relay_kb, gateway_kb : float
        Resident size.
    """

    scheduler_ms: float
    relay_ms: float
    gateway_ms: float
    scheduler_kb: float
    relay_kb: float
    gateway_kb: float


async def _idle_cores(daemons: EntryVmDaemons, seconds: float) -> dict[str, float]:
    before = daemons.use()
    await asyncio.sleep(seconds)
    after = daemons.use()
    return {d: (after[d].cpu_s - before[d].cpu_s) / seconds for d in DAEMONS}


async def _requests(daemons: EntryVmDaemons) -> list[tuple[int, float]]:
    pairs = []
    for count in REQUEST_COUNTS:
        before = daemons.use()["gateway"].cpu_s
        ran = await daemons.call_many(count, CALLERS)
        if ran < count:
            raise RuntimeError(f"{count - ran} of {count} requests did not run")
        pairs.append((count, (daemons.use()["gateway"].cpu_s - before) * 1000))
    return pairs


async def _tasks(
    daemons: EntryVmDaemons,
) -> tuple[list[tuple[int, float]], list[tuple[int, float]]]:
    resident, cpu, running = [], [], 0
    start_s = daemons.use()["scheduler"].cpu_s
    for total in TASK_COUNTS:
        await daemons.run_job(f"job-{total}", total - running)
        running = total
        use = daemons.use()["scheduler"]
        resident.append((total, use.resident_kb))
        cpu.append((total, (use.cpu_s - start_s) * 1000))
    return resident, cpu


async def _pages(daemons: EntryVmDaemons) -> dict[str, tuple[int, float]]:
    pages = {}
    for daemon in DAEMONS:
        for path in PAGES:
            before = daemons.use()[daemon].cpu_s
            for _ in range(PAGE_READS):
                size_bytes = await daemons.read_status(daemon, path)
            taken_s = daemons.use()[daemon].cpu_s - before
            pages[f"{daemon} {path}"] = (size_bytes, taken_s * 1000 / PAGE_READS)
    return pages


async def _measure(idle_s: float) -> DaemonReport:
    async with EntryVmDaemons() as daemons:
        await asyncio.sleep(2)
        idle = daemons.use()
        idle_cores = await _idle_cores(daemons, idle_s)
        requests = await _requests(daemons)
        resident, cpu = await _tasks(daemons)
        loaded = daemons.use()
        pages = await _pages(daemons)
    return DaemonReport(
        idle, loaded, idle_cores, tuple(requests), tuple(resident), tuple(cpu), pages
    )


async def _measure_idle(workers: int, seconds: float) -> IdleDaemons:
    async with EntryVmDaemons(workers) as daemons:
        # The first lease renewals and reports are over by then.
        await asyncio.sleep(5)
        cores = await _idle_cores(daemons, seconds)
        use = daemons.use()
    ms = {daemon: cores[daemon] * 1000 for daemon in DAEMONS}
    kb = {daemon: use[daemon].resident_kb for daemon in DAEMONS}
    return IdleDaemons(
        ms["scheduler"],
        ms["relay"],
        ms["gateway"],
        kb["scheduler"],
        kb["relay"],
        kb["gateway"],
    )


def measure_idle_daemons(workers: int, seconds: float = 20) -> IdleDaemons:
    """Measure idle programs with a number of workers; takes real time."""
    return asyncio.run(_measure_idle(workers, seconds))


def measure_daemons(idle_s: float = 10) -> DaemonReport:
    """Measure the programs as processes; takes real time."""
    return asyncio.run(_measure(idle_s))
