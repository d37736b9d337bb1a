"""``basilhold-scheduler``."""

import asyncio
from typing import Self

from basilhold.adapters import HttpAddress, HttpWorkerAgent, WorkerAddresses
from basilhold.core import RegionName, WorkerId
from basilhold.nodes.context import follow_changes
from basilhold.nodes.directory import CellDirectory
from basilhold.nodes.scheduler_node import SchedulerNode
from basilhold.programs.process import NodeState, ProcessDaemon, main_command
from basilhold.rpc import Address
from basilhold.settings import ProcessSettings, Program

__all__ = ["main"]


class ListedWorkers(WorkerAddresses):
    """Addresses of worker agents from the VM list.

    Parameters
    ----------
    directory : CellDirectory
    tls : bool
    """

    def __init__(self, directory: CellDirectory, tls: bool):
        self._directory = directory
        self._tls = tls

    def address_of(self, worker_id: WorkerId) -> HttpAddress | None:
        """Return the address of a worker's agent."""
        record = self._directory.worker(worker_id)
        return HttpAddress(record.host, record.port, self._tls) if record else None


class SchedulerDaemon(ProcessDaemon):
    """Places tasks on workers."""

    def __init__(self, process: ProcessSettings):
        super().__init__(process, process.vm.scheduler_status_port)
        settings = process.settings
        self._context = self.context("scheduler", process.process_id)
        addresses = ListedWorkers(
            self._context.directory, settings.platform.agent_scheme == "https"
        )
        agents = HttpWorkerAgent(self.pool, addresses, settings.timeouts.agent_ms)
        self._node = SchedulerNode(
            self._context,
            Address(process.vm.host, process.vm.scheduler_port),
            self.table("sharding"),
            agents,
            RegionName(settings.store_region),
            seed=self.rng.getrandbits(32),
        )
        self.pages.state.add_source(NodeState("scheduler", self._node))
        self.add_metrics(self._node.metric_sources())

    async def __aenter__(self) -> Self:
        await super().__aenter__()
        await self._stack.enter_async_context(self._node)
        return self

    async def run_parts(self) -> None:
        """Run the scheduler and follow the relay."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._node.run())
            refresh = self._node.lending.refresh
            group.create_task(follow_changes(self._context, refresh))

    async def drain(self, abort: asyncio.Event) -> tuple[str, ...]:
        """Hand all shards over."""
        self.pages.health.draining = True
        owned = self._node.scheduler.owned_zones()
        drain = asyncio.create_task(self._node.drain())
        aborted = asyncio.create_task(abort.wait())
        await asyncio.wait({drain, aborted}, return_when=asyncio.FIRST_COMPLETED)
        aborted.cancel()
        if drain.done():
            drain.result()
            return ()
        drain.cancel()
        return tuple(f"hand-over of zone {zone}" for zone in owned)


main = main_command(Program.SCHEDULER, SchedulerDaemon)


if __name__ == "__main__":
    main()
