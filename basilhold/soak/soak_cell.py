"""A whole cell whose entry VMs can be killed, stopped, paused and cut off."""

import asyncio
import random
from collections import Counter

import msgspec

from basilhold.cell import Cell, CellParts, CellShape, EntryNodes
from basilhold.cell.entry import EntryPlatform
from basilhold.core import Clock, RegionName, UpstreamId, VmId, WorkerId, ZoneName
from basilhold.gateway import Drain
from basilhold.nodes.directory import EntryPorts
from basilhold.ports import UpstreamRequest, VmKind, VmRecord
from basilhold.requests import Outcome
from basilhold.soak.checks import Guarantees
from basilhold.soak.gates import VmGate
from basilhold.soak.links import EntryLink, Partition
from basilhold.soak.records import SoakRecord
from basilhold.standins import MemoryUpstream, MemoryWorker, TaskBehaviour
from basilhold.testing import VIRTUAL_EPOCH_UNIX_MS

__all__ = ["RunningVm", "SoakCell"]

STORE_LATENCY_MS = 4.0
CLOCK_ERROR_MS = 500
DRAIN_GRACE_MS = 5000
BALANCER_LAG_S = 2.0
"""Time after which the load balancer sends no new callers to a VM that stops."""

DRAIN_BOUND_MS = 70_000
"""Longer than the longest timeout of any class in the examples (60 s)."""

RUN_TIMES_MS = {"r2": 2_000, "r15": 15_000, "r60": 60_000, "r150": 150_000}
"""Commands of tasks and the times that they take."""

SERVICE_MS = {"order-desk": 40.0, "intake": 40.0, "inspect": 400.0, "restore": 1500.0}
ANSWER_BYTES = (256, 4 << 10, 40 << 10, 150 << 10)
"""Small answers, ones that are kept in the object store, and streamed ones."""


class RunningVm:
    """One start of an entry VM.

    Attributes
    ----------
    calls : dict of asyncio.Task to None
        Requests of callers, in the order of their arrival.
    pause_count : int
        Changes between paused and running.
    is_taking_callers : bool
        Whether the load balancer sends callers here.
    is_busy : bool
        Whether a fault that replaces the VM is under way.
    """

    def __init__(self, entry: EntryPorts, gate: VmGate):
        self.entry = entry
        self.gate = gate
        self.link: EntryLink | None = None
        self.nodes: EntryNodes | None = None
        self.calls: dict[asyncio.Task, None] = {}
        self.pause_count = 0
        self.is_taking_callers = True
        self.is_busy = False


class SoakCell:
    """Starts, stops and watches the VMs of a cell.

    Parameters
    ----------
    shape : CellShape
    seed : int
    record : SoakRecord

    Attributes
    ----------
    cell : Cell
    guarantees : Guarantees
    vms : dict of VmId to RunningVm
    partition : Partition
    message_faults : collections.Counter
        How often a fault of a message took effect.
    bytes_by_distance : collections.Counter of str
        Control bytes of processes that have ended.
    """

    def __init__(self, shape: CellShape, seed: int, record: SoakRecord):
        self.shape = shape
        self.record = record
        self.rng = random.Random(f"{seed}/cell")
        self.partition = Partition()
        self.message_faults: Counter = Counter()
        self.vms: dict[VmId, RunningVm] = {}
        self.bytes_by_distance: Counter[str] = Counter()
        parts = CellParts(adapt_platform=self._adapt)
        self.cell = Cell(shape, Clock(VIRTUAL_EPOCH_UNIX_MS), seed, parts)
        self.cell.table.faults.latency_ms = STORE_LATENCY_MS
        self.cell.objects.faults.latency_ms = STORE_LATENCY_MS
        self.cell.network.late_ms = 500.0
        self.records = {record.vm_id: record for record in shape.vms}
        for worker in self.cell.agents.workers.values():
            self._prepare_worker(worker)
        for upstream in self.cell.upstreams.members.values():
            self._prepare_upstream(upstream)
        self.guarantees = Guarantees(self.cell, record)
        self._waiting_requests: dict[str, tuple[float, float, str]] = {}

    def _prepare_worker(self, worker: MemoryWorker) -> None:
        error_ms = self.rng.randint(-CLOCK_ERROR_MS, CLOCK_ERROR_MS)
        worker.clock = Clock(VIRTUAL_EPOCH_UNIX_MS + error_ms)
        for command, run_time_ms in RUN_TIMES_MS.items():
            worker.behaviours[command] = TaskBehaviour(run_time_ms)
        worker.behaviours["fails"] = TaskBehaviour(fails=True)

    def _prepare_upstream(self, upstream: MemoryUpstream) -> None:
        service = self.records[VmId(upstream.upstream_id)].service
        upstream.behaviour.service_ms = SERVICE_MS.get(service, 100.0)
        upstream.behaviour.answer_bytes = self.rng.choice(ANSWER_BYTES)

    def _adapt(self, entry: EntryPorts, platform: EntryPlatform) -> EntryPlatform:
        shape = self.shape
        is_remote = entry.region != shape.store_region
        link = EntryLink(
            entry,
            shape.store_region,
            shape.region_latency_ms if is_remote else shape.zone_latency_ms,
            self.partition,
            self.message_faults,
            random.Random(self.rng.random()),
            lambda upstream_id: self.records[VmId(upstream_id)].region,
            self._sent,
        )
        self.vms[entry.vm_id].link = link
        adapted = link.adapt(platform)
        self.update_worker_cuts()
        return adapted

    # Entry VMs

    async def start(self, vm_id: VmId) -> None:
        """Start an entry VM from nothing."""
        entry = next(entry for entry in self.shape.entries if entry.vm_id == vm_id)
        vm = RunningVm(entry, VmGate())
        self.vms[vm_id] = vm
        vm.nodes = await vm.gate.create_task(self.cell.start_entry(vm_id))
        for context in vm.nodes.contexts:
            self.guarantees.follow(context.process_id, context.in_force)
        self.refresh_connected()

    async def kill(self, vm_id: VmId) -> None:
        """Let an entry VM die."""
        vm = self.vms.pop(vm_id)
        vm.link.die()
        vm.gate.resume()
        self._count_bytes(vm)
        self.refresh_connected()
        for call in list(vm.calls):
            call.cancel()
        service = vm.nodes.gateway.service
        await vm.gate.create_task(self.cell.kill_entry(vm_id))
        await vm.gate.create_task(service.cancel_requests())

    async def stop(self, vm_id: VmId) -> None:
        """Stop an entry VM as planned; nothing may be cut (G7)."""
        vm = self.vms[vm_id]
        self.cell.vm_list.mark_leaving(vm_id)
        gateway = vm.nodes.gateway
        drain = Drain(
            gateway.service,
            lambda: None,
            gateway.slots.return_all,
            DRAIN_GRACE_MS,
            DRAIN_BOUND_MS,
        )
        drain.request_stop()
        draining = vm.gate.create_task(drain.run())
        await asyncio.sleep(BALANCER_LAG_S)
        vm.is_taking_callers = False
        report = await draining
        if report.cut:
            self.guarantees.fail(f"the planned stop of {vm_id} has cut {report.cut}")
        while vm.calls:
            await asyncio.wait(list(vm.calls))
        self._count_bytes(vm)
        del self.vms[vm_id]
        self.refresh_connected()
        await vm.gate.create_task(self.cell.stop_entry(vm_id))
        vm.link.die()
        self.cell.vm_list.remove(vm_id)

    async def restart(self, vm_id: VmId) -> None:
        """Start an entry VM and show it in the VM list."""
        self.cell.vm_list.put(self.records[vm_id])
        await self.start(vm_id)

    def pause(self, vm: RunningVm) -> None:
        """Stop all processes of a VM where they are."""
        vm.pause_count += 1
        vm.gate.pause()
        self.refresh_connected()

    def resume(self, vm: RunningVm) -> None:
        """Let the processes of a VM go on."""
        vm.pause_count += 1
        vm.gate.resume()
        self.refresh_connected()

    def takers(self) -> list[RunningVm]:
        """Return the VMs to which the load balancer sends callers."""
        return [
            vm
            for vm in self.vms.values()
            if vm.nodes is not None and vm.is_taking_callers and vm.nodes.is_ready
        ]

    def refresh_connected(self) -> None:
        """Take note of which VMs may be expected to hear of changes."""
        since_s = self.guarantees.connected_since_s
        connected = {
            str(vm_id)
            for vm_id, vm in self.vms.items()
            if vm.nodes is not None
            and vm.nodes.is_ready
            and not vm.gate.paused
            and not self.partition.is_cut_off(vm.entry.region)
            and not self.partition.is_cut_off(self.shape.store_region)
        }
        for name in list(since_s):
            if name not in connected:
                del since_s[name]
        now_s = asyncio.get_running_loop().time()
        for name in sorted(connected):
            since_s.setdefault(name, now_s)

    # Regions and zones

    def cut_region(self, region: RegionName) -> None:
        """Cut a region off from all others and from the store."""
        inside = [e.host for e in self.shape.entries if e.region == region]
        outside = [e.host for e in self.shape.entries if e.region != region]
        self.cell.network.cut(inside, outside)
        self.partition.cut(region)
        self.update_worker_cuts()
        self.refresh_connected()

    def heal_regions(self) -> None:
        """Connect all regions again."""
        self.cell.network.heal()
        self.partition.heal()
        self.update_worker_cuts()
        self.refresh_connected()

    def update_worker_cuts(self) -> None:
        """Let each VM reach the workers that no cut separates from it."""
        for vm in self.vms.values():
            if vm.link is None or vm.link.is_dead:
                continue
            vm.link.agents.cut = {
                WorkerId(record.vm_id)
                for record in self.shape.of_kind(VmKind.WORKER)
                if self.partition.is_cut(vm.entry.region, record.region)
            }

    def of_zone(self, zone: ZoneName) -> list[VmRecord]:
        """Return the VMs of an availability zone."""
        return [record for record in self.shape.vms if record.zone == zone]

    # Observation

    def expect_request(self, submission: str, class_name: str, target_ms: float):
        """Take note of a request that is about to be submitted."""
        now_s = asyncio.get_running_loop().time()
        self._waiting_requests[submission] = (now_s, target_ms, class_name)

    def forget_request(self, submission: str) -> None:
        """Take note that a request has ended."""
        self._waiting_requests.pop(submission, None)

    def request_ended(self, submission: str, outcome: Outcome) -> None:
        """Check what a caller was told."""
        self.forget_request(submission)
        self.guarantees.request_ended(submission, outcome)

    def _sent(self, link: EntryLink, request: UpstreamRequest) -> None:
        self.guarantees.sent(str(link.entry.vm_id), request)
        submission = dict(request.headers).get("X-Request-Id", "")
        waiting = self._waiting_requests.pop(submission, None)
        if waiting is not None:
            since_s, target_ms, class_name = waiting
            now_s = asyncio.get_running_loop().time()
            self.record.wait(class_name, (now_s - since_s) * 1000, target_ms)

    def check(self) -> None:
        """Raise a violation, if there is one.

        Raises
        ------
        InvariantError
        """
        self.refresh_connected()
        for vm_id, vm in self.vms.items():
            if vm.nodes is None or vm.gate.paused:
                continue
            for context in vm.nodes.contexts:
                self.guarantees.check_in_force(
                    str(vm_id), context.process_id, context.in_force
                )
        self.guarantees.check()

    def control_bytes(self) -> dict[str, int]:
        """Return the control bytes of all processes by distance."""
        total = Counter(self.bytes_by_distance)
        for vm in self.vms.values():
            if vm.nodes is not None:
                _add_bytes(total, vm)
        return dict(sorted(total.items()))

    def _count_bytes(self, vm: RunningVm) -> None:
        _add_bytes(self.bytes_by_distance, vm)

    def upstream(self, upstream_id: UpstreamId) -> MemoryUpstream:
        """Return an upstream."""
        return self.cell.upstreams.members[upstream_id]

    def state(self) -> dict:
        """Return what a state dump shows."""
        return {
            "entries": {
                vm_id: msgspec.to_builtins(vm.nodes.state())
                for vm_id, vm in self.vms.items()
                if vm.nodes is not None
            },
            "paused": [vm_id for vm_id, vm in self.vms.items() if vm.gate.paused],
            "unsettled": [task.name for task in self.guarantees.unsettled()],
        }


def _add_bytes(total: Counter[str], vm: RunningVm) -> None:
    for entry in vm.nodes.traffic.snapshot():
        total[entry.distance.value] += entry.payload_bytes + entry.overhead_bytes
