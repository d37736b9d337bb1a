"""``basilhold-gateway``."""

import asyncio
import secrets
from typing import Self

import msgspec
from tornado.httpserver import HTTPServer
from tornado.web import Application

from basilhold.adapters.upstreams import TornadoUpstreamClient
from basilhold.core import InvariantError, ProcessId, RegionName, ServiceName
from basilhold.gateway import (
    Drain,
    FrontEnd,
    GatewayServer,
    OnceLimits,
    make_application,
)
from basilhold.nodes.callers import ConfiguredCallers
from basilhold.nodes.context import follow_changes
from basilhold.nodes.gateway_node import GatewayNode, GatewayPorts
from basilhold.nodes.operator_backend import make_operator_backend
from basilhold.operators_api import OperatorContext, TokenTable, operator_routes
from basilhold.programs.process import NodeState, ProcessDaemon, main_command
from basilhold.rpc import Address
from basilhold.settings import ProcessSettings, Program

__all__ = ["main"]

START_ID_BYTES = 4


class GatewayDaemon(ProcessDaemon):
    """Serves callers and operators."""

    def __init__(self, process: ProcessSettings):
        super().__init__(process, process.vm.gateway_status_port)
        settings = process.settings
        start_id = secrets.token_hex(START_ID_BYTES)
        self._context = self.context(
            "gateway", ProcessId(f"{process.process_id}+{start_id}")
        )
        self._client = TornadoUpstreamClient()
        self._node = GatewayNode(
            self._context,
            Address(process.vm.host, process.vm.gateway_port),
            GatewayPorts(
                self.table("requests"),
                self.objects(),
                self._client,
                self._client.set_connection_limit,
                sweeps_records=self._context.region == settings.store_region,
            ),
            self.rng,
            OnceLimits(
                retention_ms=settings.timeouts.once_record_ms,
                records_max=settings.limits.once_records,
            ),
        )
        self.pages.state.add_source(NodeState("gateway", self._node))
        self.add_metrics(self._node.metric_sources())
        self._front = FrontEnd(
            service=self._node.service,
            callers=ConfiguredCallers(settings.callers),
            is_ready=lambda: self.pages.health.readiness().ok,
            on_invariant_error=self._invariant_broken,
            body_bytes_max=settings.limits.request_body_bytes,
            buffered_body_bytes_max=settings.limits.queued_request_bytes,
        )
        self._caller_server = GatewayServer(
            make_application(self._front),
            self._node.counters,
            ssl_options=self.public_tls,
        )
        self._operator_server = HTTPServer(
            self._operator_application(),
            max_body_size=settings.limits.operator_body_bytes,
            ssl_options=self.public_tls,
        )

    async def __aenter__(self) -> Self:
        await super().__aenter__()
        await self._stack.enter_async_context(self._client)
        await self._stack.enter_async_context(self._node)
        vm = self.process.vm
        self._caller_server.listen(vm.caller_port, vm.host)
        self._operator_server.listen(vm.operator_port, vm.host)
        for server in (self._caller_server, self._operator_server):
            self._stack.push_async_callback(server.close_all_connections)
            self._stack.callback(server.stop)
        return self

    async def run_parts(self) -> None:
        """Run the gateway and follow the relay."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._node.run())
            changed = self._node.vms_changed
            group.create_task(follow_changes(self._context, changed))

    async def drain(self, abort: asyncio.Event) -> tuple[str, ...]:
        """Finish the requests in flight and hand the slots back."""
        self.pages.health.draining = True
        timeouts = self.process.settings.timeouts
        drain = Drain(
            self._node.service,
            self._caller_server.stop,
            self._node.slots.return_all,
            timeouts.drain_grace_ms,
            timeouts.drain_ms,
        )
        drain.request_stop()
        hurry = asyncio.create_task(_request_stop_after(abort, drain))
        report = await drain.run()
        hurry.cancel()
        return report.cut

    def _invariant_broken(self, error: InvariantError) -> None:
        self.pages.health.fatal = str(error)
        self._node.invariant_broken(error)

    def _operator_application(self) -> Application:
        settings = self.process.settings
        services = frozenset(ServiceName(service.name) for service in settings.services)
        backend = make_operator_backend(
            self._context,
            self.table("operators"),
            services,
            RegionName(settings.store_region),
            lambda: msgspec.json.encode(self._node.state()),
            settings.timeouts.operator_ms,
        )
        context = OperatorContext(
            backend,
            TokenTable(settings.operators),
            settings.limits.operator_body_bytes,
        )
        return Application(operator_routes(context), log_function=lambda handler: None)


async def _request_stop_after(abort: asyncio.Event, drain: Drain) -> None:
    await abort.wait()
    drain.request_stop()


main = main_command(Program.GATEWAY, GatewayDaemon)


if __name__ == "__main__":
    main()
