"""A soak run of one seed."""

import asyncio
from pathlib import Path
from typing import Any

import msgspec

from basilhold.cell import make_shape
from basilhold.core import InvariantError, OfficeDocument
from basilhold.settings import load_settings
from basilhold.soak.faults import FaultInjector
from basilhold.soak.gates import run_pausable
from basilhold.soak.load import Load
from basilhold.soak.records import Sample, SoakRecord
from basilhold.soak.soak_cell import SoakCell

__all__ = ["SoakError", "SoakOptions", "SoakResult", "run_soak"]

EXAMPLES = Path(__file__).parents[2] / "examples"
READY_BOUND_S = 30.0
CHECK_INTERVAL_S = 0.25
SAMPLE_INTERVAL_S = 10.0
SETTLE_BOUND_S = 1200.0
"""Time in which work must run and end after the faults, beyond its target wait.

It covers the longest run (150 s), three failures on different workers, and the first
quarantines (30 s, doubling); horizons do not count, since all workers answer again.
The target wait is added because a job that finds no worker in its zone is offered to
another zone only after half of it.
"""


class SoakOptions(msgspec.Struct, frozen=True):
    """What to run.

    Parameters
    ----------
    seed : int
    seconds : float
        Virtual time of load and faults.
    cell : str
        ``trakia`` or ``fjordlys``.
    faults : tuple of str
        Names of the faults to draw from; all if empty.
    """

    seed: int
    seconds: float
    cell: str = "trakia"
    faults: tuple[str, ...] = ()


class SoakResult(msgspec.Struct, frozen=True):
    """A finished run.

    Parameters
    ----------
    options : SoakOptions
    record : SoakRecord
    digest : str
        Hash of the event log.
    virtual_s : float
    job_states : dict of str to int
        Tasks by state at the end.
    message_faults : dict of str to int
    store_operations : dict of str to int
    """

    options: SoakOptions
    record: SoakRecord
    digest: str
    virtual_s: float
    job_states: dict[str, int]
    message_faults: dict[str, int]
    store_operations: dict[str, int]


class SoakError(InvariantError):
    """A guarantee that does not hold.

    Attributes
    ----------
    at_s : float
        Virtual time, in seconds.
    state : dict
        State dump of the cell.
    record : SoakRecord
    """

    def __init__(
        self, reason: str, at_s: float, state: dict[str, Any], record: SoakRecord
    ):
        super().__init__(reason)
        self.at_s = at_s
        self.state = state
        self.record = record


class SoakRun:
    """One run; tests replace parts of its cell before it starts.

    Parameters
    ----------
    options : SoakOptions
    """

    def __init__(self, options: SoakOptions):
        self.options = options
        settings = load_settings(EXAMPLES / f"{options.cell}.toml").ok
        shape = make_shape(settings, distinct_hosts=True)
        self.documents = tuple(
            msgspec.json.decode(path.read_bytes(), type=OfficeDocument)
            for path in sorted(EXAMPLES.glob(f"{options.cell}-*.json"))
        )
        self.record = SoakRecord()
        self.soak = SoakCell(shape, options.seed, self.record)
        self.load = Load(self.soak, self.documents, options.seed)
        self.injector = FaultInjector(self.soak, options.seed, options.faults)

    async def run(self) -> SoakResult:
        """Run load and faults, then wait until the cell has settled.

        Raises
        ------
        SoakError
        """
        asyncio.get_running_loop().set_exception_handler(self._task_failed)
        work = asyncio.create_task(self._work())
        try:
            await self._watch(work)
            self.soak.guarantees.check_end()
        except InvariantError as error:
            raise self._failure(error) from error
        finally:
            work.cancel()
            # The loop can only end tasks of VMs that run.
            for vm in self.soak.vms.values():
                vm.gate.resume()
        return self._result()

    def _task_failed(self, _loop, context: dict[str, Any]) -> None:
        """Take note of an error that no task has waited for."""
        if context.get("exception") is not None:
            self.soak.guarantees.fail(f"a task ended by {context['exception']!r}")

    async def _watch(self, work: asyncio.Task) -> None:
        loop = asyncio.get_running_loop()
        next_sample_s = 0.0
        while not work.done():
            await asyncio.wait({work}, timeout=CHECK_INTERVAL_S)
            self.soak.check()
            if loop.time() >= next_sample_s:
                next_sample_s = loop.time() + SAMPLE_INTERVAL_S
                self._sample()
        work.result()

    async def _work(self) -> None:
        soak, options = self.soak, self.options
        for document in self.documents:
            await soak.cell.set_document(document)
        for entry in soak.shape.entries:
            await soak.start(entry.vm_id)
        await soak.cell.wait_ready(READY_BOUND_S)
        await asyncio.sleep(5)
        end_s = asyncio.get_running_loop().time() + options.seconds
        await asyncio.gather(self.load.run(end_s), self.injector.run(options.seconds))
        self.record.note("faults have ended")
        await self.load.finish()
        await self._settle()
        self.record.note("settled")

    async def _settle(self) -> None:
        loop = asyncio.get_running_loop()
        start_s = loop.time()
        while unsettled := self.soak.guarantees.unsettled():
            waited_s = loop.time() - start_s
            late = [
                task.name
                for task in unsettled
                if waited_s > SETTLE_BOUND_S + task.wait_target_ms / 1000
            ]
            if late:
                raise InvariantError(
                    f"{len(late)} tasks neither run nor have ended "
                    f"{waited_s:.0f} s after the faults: {late[:5]}"
                )
            await asyncio.sleep(5)
        # Results of requests and freed slots arrive shortly after their requests.
        await asyncio.sleep(5)

    def _sample(self) -> None:
        now_s = asyncio.get_running_loop().time()
        packing = self.soak.guarantees.packing()
        sample = Sample(now_s, packing, self.soak.control_bytes())
        self.record.samples.append(sample)

    def _failure(self, error: InvariantError) -> SoakError:
        at_s = asyncio.get_running_loop().time()
        return SoakError(str(error), at_s, self.soak.state(), self.record)

    def _result(self) -> SoakResult:
        table = self.soak.cell.table
        return SoakResult(
            options=self.options,
            record=self.record,
            digest=self.record.digest(),
            virtual_s=asyncio.get_running_loop().time(),
            job_states=dict(sorted(self.soak.guarantees.job_states().items())),
            message_faults={
                getattr(name, "value", name): count
                for name, count in self.soak.message_faults.items()
            },
            store_operations={"read": table.read_count, "write": table.write_count},
        )


def run_soak(options: SoakOptions, make_run=SoakRun) -> SoakResult:
    """Run one seed on the virtual clock.

    Raises
    ------
    SoakError
        If a guarantee does not hold.
    """

    async def run() -> SoakResult:
        return await make_run(options).run()

    return run_pausable(run())
