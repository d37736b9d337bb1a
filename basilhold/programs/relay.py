"""``basilhold-relay``."""

import asyncio
from typing import Self

from basilhold.core import OfficeName, RegionName
from basilhold.nodes.relay_node import RelayNode
from basilhold.programs.process import NodeState, ProcessDaemon, main_command
from basilhold.relay import ProcessIdentity, ReaderSettings, RelaySettings
from basilhold.rpc import Address
from basilhold.settings import ProcessSettings, Program

__all__ = ["main"]


class RelayDaemon(ProcessDaemon):
    """Passes configuration, VM list and shard directory on inside a region."""

    def __init__(self, process: ProcessSettings):
        super().__init__(process, process.vm.relay_status_port)
        settings = process.settings
        identity = ProcessIdentity(
            process.process_id, "relay", process.vm_id, process.zone, process.region
        )
        reader = ReaderSettings(
            tuple(OfficeName(office) for office in settings.offices),
            tuple(RegionName(region.name) for region in settings.regions),
        )
        self._node = RelayNode(
            RelaySettings(
                identity,
                Address(process.vm.host, process.vm.relay_port),
                RegionName(settings.store_region),
                reader,
            ),
            self.transport,
            self.table("relay"),
            self.vm_list(),
            self.clock,
            self.rng,
        )
        self.pages.state.add_source(NodeState("relay", self._node))
        self.add_metrics(self._node.metric_sources())

    async def __aenter__(self) -> Self:
        await super().__aenter__()
        await self._stack.enter_async_context(self._node)
        return self

    async def run_parts(self) -> None:
        """Run the relay."""
        await self._node.run()

    async def drain(self, abort: asyncio.Event) -> tuple[str, ...]:
        """End at once: the processes of the region go to the next relay."""
        self.pages.health.draining = True
        return ()


main = main_command(Program.RELAY, RelayDaemon)


if __name__ == "__main__":
    main()
