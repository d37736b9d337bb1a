import time
import unittest

from basilhold.adapters import (
    HttpAddress,
    HttpObjectStore,
    HttpPool,
    HttpTable,
    HttpVmList,
    HttpWorkerAgent,
    WorkerAddresses,
)
from basilhold.adapters.tests.contracts import (
    SIZE,
    WORKER,
    ObjectContract,
    TableContract,
    VmListContract,
    WorkerContract,
)
from basilhold.core import Clock, RegionName, VmId, ZoneName
from basilhold.ports import VmKind, VmRecord, VmState
from basilhold.standins import (
    MemoryObjectStore,
    MemoryTable,
    MemoryVmList,
    MemoryWorker,
    MemoryWorkers,
)
from basilhold.standins.http import PlatformServer, PlatformServices


class OneAddress(WorkerAddresses):
    def __init__(self, address):
        self.address = address

    def address_of(self, worker_id):
        return self.address


class MemoryCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.now = int(time.time() * 1000)
        clock = Clock(self.now)
        self.table, self.objects = MemoryTable(), MemoryObjectStore()
        self.vms = MemoryVmList(clock)
        place = (RegionName("r"), ZoneName("z"), "rack-1", "127.0.0.1", 1)
        self.record = VmRecord(VmId("w"), VmKind.WORKER, VmState.LIVE, *place, SIZE)
        self.vms.put(self.record)
        self.agent = MemoryWorkers({WORKER: MemoryWorker(WORKER, SIZE, clock)})


class HttpCase(MemoryCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        services = PlatformServices(self.table, self.objects, self.vms, self.agent)
        server = await self.enterAsyncContext(PlatformServer(services))
        address = HttpAddress("127.0.0.1", server.port)
        pool = await self.enterAsyncContext(HttpPool())
        self.table = HttpTable(pool, address)
        self.objects = HttpObjectStore(pool, address)
        self.vms = HttpVmList(pool, address)
        self.agent = HttpWorkerAgent(pool, OneAddress(address))


class MemoryContractTest(
    TableContract, ObjectContract, VmListContract, WorkerContract, MemoryCase
):
    """Guards the stand-ins against differing from the HTTP adapters."""


class HttpContractTest(
    TableContract, ObjectContract, VmListContract, WorkerContract, HttpCase
):
    """Guards the adapters against differing from the stand-ins."""
