"""Faults of a soak run, drawn from its seed."""

import asyncio
import random
from collections.abc import Awaitable, Callable

from basilhold.core import UpstreamId, VmId, WorkerId
from basilhold.ports import VmKind, VmRecord
from basilhold.soak.soak_cell import RunningVm, SoakCell
from basilhold.standins import MemoryUpstream, MemoryWorker, StoreFaults

__all__ = ["FAULTS", "FaultInjector"]

PAUSE_BETWEEN_S = 15.0
HOLD_MAX_S = 60.0
STORE_OUTAGE_MAX_S = 3600.0
STORE_LATENCY_MS = 4.0
VM_LIST_LAG_MS = 1000

SMALL_LIST_LOSS_MAX_S = 20.0
"""A list that lacks few VMs is believed after 30 s, so such a loss is shorter."""


class FaultInjector:
    """Applies faults one after the other, and several at a time.

    Parameters
    ----------
    soak : SoakCell
    seed : int
    names : tuple of str, optional
        Faults to draw from; all by default.
    """

    def __init__(self, soak: SoakCell, seed: int, names: tuple[str, ...] = ()):
        self.soak = soak
        self.record = soak.record
        self.rng = random.Random(f"{seed}/faults")
        self._names = names or tuple(FAULTS)
        self._ending = asyncio.Event()
        self._store_faults = 0

    async def run(self, seconds: float) -> None:
        """Apply faults for a time: first one at a time, then up to three."""
        starts_s = (0.0, seconds / 6, seconds / 3)
        injectors = [asyncio.create_task(self._inject(s, seconds)) for s in starts_s]
        await asyncio.sleep(seconds)
        self._ending.set()
        await asyncio.gather(*injectors)

    async def _inject(self, start_s: float, end_s: float) -> None:
        await self.hold(start_s)
        while not self._ending.is_set():
            await self.hold(self.rng.uniform(1.0, PAUSE_BETWEEN_S))
            if self._ending.is_set():
                return
            name = self.rng.choice(self._names)
            self.record.note(f"fault {name}")
            if await FAULTS[name](self):
                self.record.faults[name] += 1
                self.record.note(f"end of {name}")
            else:
                self.record.note(f"no effect of {name}")

    async def hold(self, seconds: float) -> None:
        """Wait, but not longer than until the end of the faults."""
        if seconds <= 0:
            return
        ending = asyncio.ensure_future(self._ending.wait())
        await asyncio.wait({ending}, timeout=seconds)
        ending.cancel()

    async def hold_fault(self, longest_s: float = HOLD_MAX_S) -> None:
        """Wait for as long as a fault lasts."""
        await self.hold(self.rng.uniform(1.0, longest_s))

    def pick_vm(self) -> RunningVm | None:
        """Return an entry VM that no fault replaces or pauses."""
        vms = [
            vm
            for vm in self.soak.vms.values()
            if vm.nodes is not None and not vm.is_busy and not vm.gate.paused
        ]
        return self.rng.choice(vms) if vms else None

    def pick_workers(self) -> list[MemoryWorker]:
        """Return one reachable worker, or sometimes several."""
        workers = [w for w in self.soak.cell.agents.workers.values() if w.reachable]
        count = min(len(workers), self.rng.choice((1, 1, 1, 3)))
        return self.rng.sample(workers, count)

    def pick_upstreams(self) -> list[MemoryUpstream]:
        """Return some upstreams that take requests, at least one."""
        members = [
            upstream
            for upstream in self.soak.cell.upstreams.members.values()
            if not (upstream.behaviour.leaving or upstream.behaviour.refusing)
        ]
        count = min(len(members), self.rng.choice((1, 1, 3, 10)))
        return self.rng.sample(members, count)

    def begin_store_fault(self) -> None:
        """Take note that nothing is certain to be read from the store in time."""
        self._store_faults += 1
        self.soak.guarantees.store_good_since_s = float("inf")

    def end_store_fault(self) -> None:
        """Take note that a fault of the store has ended."""
        self._store_faults -= 1
        if not self._store_faults:
            now_s = asyncio.get_running_loop().time()
            self.soak.guarantees.store_good_since_s = now_s


async def _replace(injector: FaultInjector, vms: list[RunningVm]) -> None:
    """Kill VMs and start them again after a while."""
    soak, rng = injector.soak, injector.rng
    for vm in vms:
        vm.is_busy = True
    await asyncio.gather(*(soak.kill(vm.entry.vm_id) for vm in vms))
    is_listed = rng.random() < 0.3
    if not is_listed:
        await injector.hold(rng.uniform(1.0, 10.0))
        soak.cell.vm_list.remove(*(vm.entry.vm_id for vm in vms))
    await injector.hold(rng.uniform(0.5, HOLD_MAX_S))
    for vm in vms:
        await soak.restart(vm.entry.vm_id)


async def _kill(injector: FaultInjector) -> bool:
    vm = injector.pick_vm()
    if vm is None:
        return False
    await _replace(injector, [vm])
    return True


async def _kill_several(injector: FaultInjector) -> bool:
    vms = [
        vm
        for vm in injector.soak.vms.values()
        if vm.nodes is not None and not vm.is_busy and not vm.gate.paused
    ]
    if len(vms) < 2:
        return False
    await _replace(
        injector, injector.rng.sample(vms, injector.rng.randint(2, len(vms)))
    )
    return True


async def _planned_stop(injector: FaultInjector) -> bool:
    vm = injector.pick_vm()
    if vm is None:
        return False
    vm.is_busy = True
    await injector.soak.stop(vm.entry.vm_id)
    await injector.hold(injector.rng.uniform(0.0, 20.0))
    await injector.soak.restart(vm.entry.vm_id)
    return True


async def _pause(injector: FaultInjector) -> bool:
    vm = injector.pick_vm()
    if vm is None:
        return False
    vm.is_busy = True
    injector.soak.pause(vm)
    await injector.hold_fault()
    injector.soak.resume(vm)
    vm.is_busy = False
    return True


async def _store_down(injector: FaultInjector) -> bool:
    longest_s = HOLD_MAX_S if injector.rng.random() < 0.8 else STORE_OUTAGE_MAX_S
    return await _fault_store(injector, longest_s, down=True)


async def _store_slow(injector: FaultInjector) -> bool:
    return await _fault_store(
        injector, HOLD_MAX_S, latency_ms=injector.rng.uniform(100, 1500)
    )


async def _store_refuses(injector: FaultInjector) -> bool:
    return await _fault_store(injector, HOLD_MAX_S, refused_ratio=0.5)


async def _store_loses(injector: FaultInjector) -> bool:
    rng = injector.rng
    return await _fault_store(
        injector,
        HOLD_MAX_S,
        lost_reply_ratio=rng.uniform(0.0, 0.2),
        lost_request_ratio=rng.uniform(0.0, 0.2),
        delayed_ratio=rng.uniform(0.0, 0.1),
    )


async def _fault_store(injector: FaultInjector, longest_s: float, **faults) -> bool:
    table = injector.soak.cell.table.faults
    injector.begin_store_fault()
    _set_faults(table, faults)
    await injector.hold_fault(longest_s)
    _reset_faults(table, faults)
    injector.end_store_fault()
    return True


async def _objects_down(injector: FaultInjector) -> bool:
    objects = injector.soak.cell.objects.faults
    objects.down = True
    await injector.hold_fault()
    objects.down = False
    return True


def _set_faults(target: StoreFaults, faults: dict[str, float | bool]) -> None:
    for name, value in faults.items():
        setattr(target, name, value)


def _reset_faults(target: StoreFaults, faults: dict[str, float | bool]) -> None:
    for name in faults:
        setattr(target, name, STORE_LATENCY_MS if name == "latency_ms" else 0)


async def _list_lags(injector: FaultInjector) -> bool:
    injector.soak.cell.vm_list.lag_ms = injector.rng.randint(5_000, 30_000)
    await injector.hold_fault()
    injector.soak.cell.vm_list.lag_ms = VM_LIST_LAG_MS
    return True


async def _list_loses(injector: FaultInjector) -> bool:
    """Let the VM list lack VMs that are live."""
    soak, rng = injector.soak, injector.rng
    shown = [r for r in soak.shape.vms if _is_listed(soak, r)]
    is_large = rng.random() < 0.6
    share = rng.uniform(0.4, 1.0) if is_large else rng.uniform(0.02, 0.1)
    lost = rng.sample(shown, int(len(shown) * share))
    if not lost:
        return False
    soak.cell.vm_list.remove(*(record.vm_id for record in lost))
    await injector.hold_fault(HOLD_MAX_S if is_large else SMALL_LIST_LOSS_MAX_S)
    soak.cell.vm_list.put(*(r for r in lost if _is_running(soak, r)))
    return True


def _is_listed(soak: SoakCell, record: VmRecord) -> bool:
    return record in soak.cell.vm_list.shown().records and _is_running(soak, record)


def _is_running(soak: SoakCell, record: VmRecord) -> bool:
    if record.kind is VmKind.ENTRY:
        vm = soak.vms.get(record.vm_id)
        return vm is not None and not vm.is_busy
    if record.kind is VmKind.WORKER:
        return soak.cell.agents.workers[WorkerId(record.vm_id)].reachable
    behaviour = soak.upstream(UpstreamId(record.vm_id)).behaviour
    return not (behaviour.leaving or behaviour.refusing)


async def _worker_dies(injector: FaultInjector) -> bool:
    workers = injector.pick_workers()
    return await _lose_workers(injector, [VmId(w.worker_id) for w in workers])


async def _rack_lost(injector: FaultInjector) -> bool:
    records = injector.soak.shape.of_kind(VmKind.WORKER)
    rack = injector.rng.choice(sorted({record.rack for record in records}))
    return await _lose_workers(injector, [r.vm_id for r in records if r.rack == rack])


async def _lose_workers(injector: FaultInjector, vm_ids: list[VmId]) -> bool:
    """Let workers die, and bring them back as after a reboot."""
    soak, rng = injector.soak, injector.rng
    workers = [soak.cell.agents.workers[WorkerId(vm_id)] for vm_id in vm_ids]
    workers = [worker for worker in workers if worker.reachable]
    for worker in workers:
        worker.reachable = False
        worker.restart()
    is_removed = rng.random() < 0.7
    await injector.hold(rng.uniform(1.0, 10.0))
    if is_removed:
        soak.cell.vm_list.remove(*(VmId(w.worker_id) for w in workers))
    await injector.hold_fault(120.0)
    for worker in workers:
        worker.reachable = True
        soak.cell.vm_list.put(soak.records[VmId(worker.worker_id)])
    return bool(workers)


async def _zone_lost(injector: FaultInjector) -> bool:
    soak = injector.soak
    zone = injector.rng.choice(sorted({entry.zone for entry in soak.shape.entries}))
    records = soak.of_zone(zone)
    upstreams = [
        soak.upstream(UpstreamId(r.vm_id)) for r in records if r.kind is VmKind.UPSTREAM
    ]
    upstreams = [u for u in upstreams if not u.behaviour.refusing]
    vms = [
        vm
        for vm in soak.vms.values()
        if vm.entry.zone == zone and vm.nodes is not None and not vm.is_busy
    ]
    for upstream in upstreams:
        upstream.behaviour.refusing = True
    workers = [r.vm_id for r in records if r.kind is VmKind.WORKER]
    await asyncio.gather(_replace(injector, vms), _lose_workers(injector, workers))
    for upstream in upstreams:
        upstream.behaviour.refusing = False
    return True


async def _region_cut(injector: FaultInjector) -> bool:
    soak = injector.soak
    others = [r for r in soak.shape.regions if r != soak.shape.store_region]
    if any(soak.partition.is_cut_off(region) for region in others):
        return False
    soak.cut_region(injector.rng.choice(others))
    await injector.hold_fault(180.0)
    soak.heal_regions()
    return True


async def _worker_fails(injector: FaultInjector) -> bool:
    workers = injector.pick_workers()
    for worker in workers:
        worker.fails_everything = True
    await injector.hold_fault()
    for worker in workers:
        worker.fails_everything = False
    return bool(workers)


async def _upstream_faults(injector: FaultInjector, **faults: float) -> bool:
    upstreams = injector.pick_upstreams()
    for upstream in upstreams:
        for name, value in faults.items():
            setattr(upstream.behaviour, name, value)
    await injector.hold_fault()
    for upstream in upstreams:
        for name in faults:
            setattr(upstream.behaviour, name, 0.0)
    return bool(upstreams)


async def _upstreams_fail(injector: FaultInjector) -> bool:
    return await _upstream_faults(injector, fail_ratio=1.0)


async def _upstreams_cut(injector: FaultInjector) -> bool:
    return await _upstream_faults(injector, cut_ratio=0.5)


async def _upstreams_truncate(injector: FaultInjector) -> bool:
    return await _upstream_faults(injector, truncate_ratio=0.5)


async def _upstreams_late(injector: FaultInjector) -> bool:
    return await _upstream_faults(injector, late_ratio=0.5)


async def _upstream_leaves(injector: FaultInjector) -> bool:
    """Let upstreams leave: the list shows it, and half of them say so before."""
    soak, rng = injector.soak, injector.rng
    upstreams = injector.pick_upstreams()[:3]
    ids = [VmId(upstream.upstream_id) for upstream in upstreams]
    says_so = rng.random() < 0.5
    for upstream in upstreams:
        upstream.leaving_starts.clear()
        upstream.behaviour.leaving = says_so
    if says_so:
        # The list shows it later, because it lags.
        await injector.hold(rng.uniform(0.0, 30.0))
    for vm_id in ids:
        soak.cell.vm_list.put(soak.records[vm_id])
        soak.cell.vm_list.mark_leaving(vm_id)
    await injector.hold(rng.uniform(10.0, 30.0))
    soak.cell.vm_list.remove(*ids)
    await injector.hold_fault()
    for upstream in upstreams:
        upstream.behaviour.leaving = False
        soak.cell.vm_list.put(soak.records[VmId(upstream.upstream_id)])
    return bool(upstreams)


async def _messages_late(injector: FaultInjector) -> bool:
    network = injector.soak.cell.network
    network.late_ratio = injector.rng.uniform(0.05, 0.3)
    await injector.hold_fault()
    network.late_ratio = 0.0
    return True


async def _messages_twice(injector: FaultInjector) -> bool:
    network = injector.soak.cell.network
    network.duplicate_ratio = injector.rng.uniform(0.05, 0.3)
    await injector.hold_fault()
    network.duplicate_ratio = 0.0
    return True


async def _worker_messages(injector: FaultInjector) -> bool:
    """Lose and delay the messages between one VM and all workers."""
    vm = injector.pick_vm()
    if vm is None:
        return False
    agents, rng = vm.link.agents, injector.rng
    agents.lost_request_ratio = rng.uniform(0.0, 0.2)
    agents.lost_reply_ratio = rng.uniform(0.0, 0.2)
    agents.delayed_ratio = rng.uniform(0.0, 0.2)
    await injector.hold_fault()
    agents.lost_request_ratio = agents.lost_reply_ratio = agents.delayed_ratio = 0.0
    return True


FAULTS: dict[str, Callable[[FaultInjector], Awaitable[bool]]] = {
    "entry VM killed": _kill,
    "several entry VMs killed": _kill_several,
    "planned stop": _planned_stop,
    "processes paused": _pause,
    "store down": _store_down,
    "store slow": _store_slow,
    "store refuses every other call": _store_refuses,
    "store loses requests and replies": _store_loses,
    "object store down": _objects_down,
    "VM list lags": _list_lags,
    "VM list loses VMs": _list_loses,
    "worker dies": _worker_dies,
    "rack lost": _rack_lost,
    "zone lost": _zone_lost,
    "region cut off": _region_cut,
    "worker fails everything": _worker_fails,
    "upstreams fail everything": _upstreams_fail,
    "upstreams cut connections": _upstreams_cut,
    "upstreams truncate answers": _upstreams_truncate,
    "upstreams are late": _upstreams_late,
    "upstream leaves": _upstream_leaves,
    "messages late": _messages_late,
    "messages twice": _messages_twice,
    "worker messages lost and late": _worker_messages,
}
