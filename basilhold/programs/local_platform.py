"""Stand-ins of the platform and of upstreams for daemons that run as processes."""

import contextlib
import time
from collections.abc import Iterable
from typing import Any, Self
from urllib.parse import urlsplit

import msgspec

from basilhold.cell import make_shape
from basilhold.config import ChangeRequest, ConfigStore
from basilhold.core import Clock, OfficeDocument, VmId, WorkerId
from basilhold.ports import VmKind, VmRecord
from basilhold.settings import Settings
from basilhold.standins import (
    MemoryObjectStore,
    MemoryTable,
    MemoryVmList,
    MemoryWorker,
    MemoryWorkers,
    UpstreamBehaviour,
    UpstreamServer,
)
from basilhold.standins.http import PlatformServer, PlatformServices

__all__ = ["LocalPlatform"]


class LocalPlatform:
    """Serves table, objects, VM list, workers and upstreams on loopback.

    Parameters
    ----------
    settings : Settings
        Each address of the platform serves all services.
    documents : iterable of OfficeDocument
        Stored at the start.

    Attributes
    ----------
    table : MemoryTable
    workers : MemoryWorkers
    upstreams : dict of VmId to UpstreamServer
    """

    def __init__(self, settings: Settings, documents: Iterable[OfficeDocument]):
        self._settings = settings
        self._documents = tuple(documents)
        self._stack = contextlib.AsyncExitStack()
        self.table = MemoryTable()
        self.workers = MemoryWorkers()
        self.upstreams: dict[VmId, UpstreamServer] = {}

    async def __aenter__(self) -> Self:
        clock = Clock(time.time_ns() // 1_000_000)
        self.vm_list = MemoryVmList(clock)
        services = PlatformServices(
            self.table, MemoryObjectStore(), self.vm_list, self.workers
        )
        for host, port in self._addresses():
            server = PlatformServer(services, port, host)
            await self._stack.enter_async_context(server)
        for record in make_shape(self._settings).vms:
            await self._add(record, server, clock)
        store = ConfigStore(self.table, clock)
        for document in self._documents:
            request = ChangeRequest(document.office, "local", 0, document)
            await store.change(request)
        return self

    async def __aexit__(self, exc_type, exc, traceback) -> None:
        await self._stack.__aexit__(exc_type, exc, traceback)

    def state(self) -> dict[str, Any]:
        """Return what a state dump shows."""
        return {
            "reads": self.table.read_count,
            "writes": self.table.write_count,
            "running_tasks": sum(
                len(worker.running_tasks()) for worker in self.workers.workers.values()
            ),
        }

    def _addresses(self) -> set[tuple[str, int]]:
        platform = self._settings.platform
        urls = (platform.table_url, platform.objects_url, platform.vms_url)
        parts = [urlsplit(url) for url in urls]
        return {(part.hostname or "127.0.0.1", part.port or 80) for part in parts}

    async def _add(
        self, record: VmRecord, server: PlatformServer, clock: Clock
    ) -> None:
        if record.kind is VmKind.WORKER:
            worker_id = WorkerId(record.vm_id)
            worker = MemoryWorker(worker_id, record.capacity, clock)
            self.workers.workers[worker_id] = worker
            record = msgspec.structs.replace(record, host=server.host, port=server.port)
        elif record.kind is VmKind.UPSTREAM:
            upstream = UpstreamServer(UpstreamBehaviour())
            await self._stack.enter_async_context(upstream)
            self.upstreams[record.vm_id] = upstream
            record = msgspec.structs.replace(record, port=upstream.port)
        self.vm_list.put(record)
