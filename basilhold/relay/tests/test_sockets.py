import asyncio
import time
import unittest

from absl import logging

from basilhold.config import ChangeRequest, ConfigInForce, ConfigStore
from basilhold.core import (
    ClassKind,
    ClassName,
    Clock,
    OfficeDocument,
    OfficeName,
    ProcessId,
    RegionName,
    VmId,
    WorkClass,
    ZoneName,
)
from basilhold.relay import (
    ConfigChanger,
    ProcessIdentity,
    ReaderSettings,
    RegionSubscription,
    Relay,
    RelaySettings,
)
from basilhold.rpc import Address, GrpcTransport
from basilhold.standins import MemoryTable, MemoryVmList

OFFICE = OfficeName("oslo")
REGION = RegionName("oslo")
SAFETY_S = 20
"""Ends a run that hangs; no result depends on how long a step takes."""


def identity(program, vm="vm-0"):
    process_id = ProcessId(f"{program}@{vm}")
    return ProcessIdentity(process_id, program, VmId(vm), ZoneName("a"), REGION)


class RelayOverSocketsTest(unittest.IsolatedAsyncioTestCase):
    """Guards the streams against differences between grpclib and the stand-in."""

    def setUp(self):
        verbosity = logging.get_verbosity()
        logging.set_verbosity(logging.FATAL)
        self.addCleanup(logging.set_verbosity, verbosity)

    async def asyncSetUp(self):
        self.clock = Clock(int(time.time() * 1000))
        self.table = MemoryTable()
        self.transports = []
        self.tasks = {}

    async def asyncTearDown(self):
        for name in list(self.tasks):
            await self.stop(name)

    async def start(self, name, make):
        transport = GrpcTransport()
        process = make(transport)
        self.tasks[name] = (asyncio.ensure_future(process.run()), transport)
        return process

    async def stop(self, name):
        task, transport = self.tasks.pop(name)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        await transport.close()

    def relay(self, name, address):
        reader = ReaderSettings((OFFICE,), (REGION,), 100, 100, 100)
        settings = RelaySettings(identity("relay", name), address, REGION, reader)
        vm_list = MemoryVmList(self.clock)
        return lambda transport: Relay(
            settings, transport, self.table, vm_list, lambda row: None, self.clock
        )

    async def wait_for(self, subscription, condition):
        async with asyncio.timeout(SAFETY_S):
            while not condition():
                subscription.changed.clear()
                await subscription.changed.wait()

    async def test_change_reaches_a_process_also_after_its_relay_died(self):
        async with GrpcTransport() as probe:
            ports = [(await probe.serve([], Address("127.0.0.1", 0))) for _ in "ab"]
            addresses = [served.ok.address for served in ports]
        for index, address in enumerate(addresses):
            await self.start(index, self.relay(f"vm-{index}", address))
        in_force = ConfigInForce()
        subscription = await self.start(
            "gateway",
            lambda transport: RegionSubscription(
                identity("gateway"), transport, lambda: addresses, in_force, self.clock
            ),
        )
        await self.wait_for(subscription, lambda: in_force.is_ready)
        store = ConfigStore(self.table, self.clock)
        changer = ConfigChanger(store, subscription, REGION, REGION)
        for version in (1, 2):
            name = ClassName("oslo.night")
            work_class = WorkClass(name, ClassKind.BATCH, 1000 + version)
            document = OfficeDocument(OFFICE, (work_class,))
            request = ChangeRequest(OFFICE, "ann", version - 1, document)
            change = changer.change if version == 1 else store.change
            self.assertTrue((await change(request)).is_ok())
            await self.wait_for(
                subscription, lambda v=version: in_force.version(OFFICE) == v
            )
            if version == 1:
                await self.stop(0)
        self.assertEqual(subscription.relay_address, addresses[1])
