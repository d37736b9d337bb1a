"""Links between the processes of a `RequestCell`, with losses, delays and pauses."""

import asyncio
from typing import TYPE_CHECKING

from expression import Error, Ok, Result

from basilhold.core import ProcessId, RequestKey, ZoneName
from basilhold.ports import (
    ResponseHead,
    ResponseSink,
    Row,
    ScanPage,
    SendError,
    SendPhase,
    StoreError,
    TableService,
    Transaction,
    UpstreamClient,
    UpstreamRequest,
)
from basilhold.requests import (
    ExchangeError,
    PeerError,
    RequestPeers,
    RequestProgress,
    SlotExchange,
    SlotGrant,
    SlotReport,
    SlotReportHandler,
)
from basilhold.standins import MemoryTable

if TYPE_CHECKING:
    from basilhold.testing.request_cell import CellGateway, RequestCell

__all__ = ["CellExchange", "CellPeers", "Gate", "GatedClient", "GatedTable"]

EXCHANGE_TIMEOUT_MS = 1000
CONNECT_TIMEOUT_S = 2.0


class Gate:
    """Holds all of a gateway's messages back while it is paused or dead."""

    def __init__(self):
        self._open = asyncio.Event()
        self._open.set()

    def close(self) -> None:
        """Hold messages back."""
        self._open.clear()

    def open(self) -> None:
        """Let messages pass."""
        self._open.set()

    async def passed(self) -> None:
        """Wait until messages pass."""
        await self._open.wait()


class GatedTable(TableService):
    """Store of a gateway that can be paused."""

    def __init__(self, table: MemoryTable, gate: Gate):
        self._table = table
        self._gate = gate

    async def read(self, keys: tuple[str, ...]) -> Result[dict[str, Row], StoreError]:
        """Read rows."""
        await self._gate.passed()
        result = await self._table.read(keys)
        await self._gate.passed()
        return result

    async def scan(
        self, prefix: str, after: str = "", limit: int = 500
    ) -> Result[ScanPage, StoreError]:
        """Scan rows."""
        await self._gate.passed()
        return await self._table.scan(prefix, after, limit)

    async def transact(
        self, transaction: Transaction
    ) -> Result[dict[str, int], StoreError]:
        """Apply a transaction."""
        await self._gate.passed()
        result = await self._table.transact(transaction)
        await self._gate.passed()
        return result


class GatedClient(UpstreamClient):
    """Connections of a gateway that can be paused."""

    def __init__(self, client: UpstreamClient, gate: Gate):
        self._client = client
        self._gate = gate

    async def send(
        self, request: UpstreamRequest, sink: ResponseSink
    ) -> Result[ResponseHead, SendError]:
        """Send a request."""
        loop = asyncio.get_running_loop()
        started = loop.time()
        await self._gate.passed()
        if loop.time() - started > CONNECT_TIMEOUT_S:
            # The HTTP client gives up in the same way.
            return Error(SendError(SendPhase.NOT_SENT, "connection took too long"))
        result = await self._client.send(request, sink)
        await self._gate.passed()
        return result


class CellPeers(RequestPeers):
    """Asks gateways of the same cell."""

    def __init__(self, cell: "RequestCell"):
        self._cell = cell

    async def ask(
        self, holder: ProcessId, key: RequestKey, wait_ms: int
    ) -> Result[RequestProgress, PeerError]:
        """Ask the holder of a request."""
        gateway = self._cell.gateways.get(holder)
        if gateway is None or self._cell.peers_unreachable:
            return Error(PeerError("unreachable"))
        try:
            async with asyncio.timeout((wait_ms + 100) / 1000):
                await gateway.gate.passed()
                return Ok(await gateway.keeper.ask(key, wait_ms))
        except TimeoutError:
            return Error(PeerError("no answer"))


class CellExchange(SlotExchange):
    """Sends reports to the owners that a gateway knows, and loses some."""

    def __init__(self, cell: "RequestCell", gateway: "CellGateway"):
        self._cell = cell
        self._gateway = gateway

    async def exchange(
        self, zone: ZoneName, report: SlotReport
    ) -> Result[SlotGrant, ExchangeError]:
        """Send a report."""
        cell = self._cell
        await self._gateway.gate.passed()
        handler = self._gateway.owners.get(zone)
        if dict(cell.shape.zones)[zone] != report.region:
            cell.other_region_reports += 1
        lost = cell.rng.random() < cell.exchange_loss_ratio
        if cell.rng.random() < cell.exchange_loss_ratio and handler is not None:
            # The report or a copy of it arrives late, and the reply is never seen.
            cell.spawn(self._deliver_late(handler, report))
        if handler is None or zone in cell.unreachable_owners or lost:
            await asyncio.sleep(EXCHANGE_TIMEOUT_MS / 1000)
            return Error(ExchangeError("no reply"))
        await asyncio.sleep(0.001)
        delivered = cell.spawn(handler.exchange(report))
        grant = await asyncio.shield(delivered)
        if cell.rng.random() < cell.exchange_loss_ratio:
            await asyncio.sleep(EXCHANGE_TIMEOUT_MS / 1000)
            return Error(ExchangeError("reply lost"))
        await asyncio.sleep(0.001)
        await self._gateway.gate.passed()
        return Ok(grant)

    async def _deliver_late(
        self, handler: SlotReportHandler, report: SlotReport
    ) -> None:
        await asyncio.sleep(self._cell.rng.uniform(0.0, 3.0))
        await handler.exchange(report)
