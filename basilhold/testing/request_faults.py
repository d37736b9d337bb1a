"""Faults of randomised runs of the request path."""

import asyncio
from collections.abc import Callable
from enum import Enum
from typing import TYPE_CHECKING

from basilhold.core import UpstreamId, VmId

if TYPE_CHECKING:
    from basilhold.testing.request_fuzz import FuzzRun

__all__ = ["FREEZING", "INJECTORS", "Fault"]


class Fault(Enum):
    """What goes wrong in a run."""

    SLOW = "slow"
    FAIL_FAST = "fail-fast"
    TRUNCATE = "truncate"
    CUT = "cut"
    LATE = "late"
    REFUSE = "refuse"
    LEAVE_LISTED = "leave-listed"
    LEAVE_SELF = "leave-self"
    STORE_DOWN = "store-down"
    STORE_LOST_REPLIES = "store-lost-replies"
    STORE_SLOW = "store-slow"
    GATEWAY_DIES = "gateway-dies"
    GATEWAY_RESTARTS = "gateway-restarts"
    GATEWAY_PAUSES = "gateway-pauses"
    GATEWAY_JOINS = "gateway-joins"
    OWNER_TAKEN_OVER = "owner-taken-over"
    OWNER_UNREACHABLE = "owner-unreachable"
    REPORTS_LOST = "reports-lost"
    PEERS_UNREACHABLE = "peers-unreachable"
    OVERLOAD = "overload"
    CALLERS_LEAVE = "callers-leave"


FREEZING = {
    Fault.GATEWAY_DIES,
    Fault.OWNER_TAKEN_OVER,
    Fault.GATEWAY_PAUSES,
    Fault.SLOW,
    Fault.FAIL_FAST,
    Fault.TRUNCATE,
    Fault.CUT,
    Fault.LATE,
    Fault.REFUSE,
}
"""Faults after which slots or circuit breakers need time."""


def _upstream_fault(**settings) -> Callable:
    async def inject(run: "FuzzRun") -> None:
        for behaviour in run.behaviours(run.rng.choice((0.25, 0.5, 1.0))):
            for name, value in settings.items():
                setattr(behaviour, name, value)

    return inject


def _leave(listed: bool) -> Callable:
    async def inject(run: "FuzzRun") -> None:
        upstream_id = run.rng.choice(list(run.cell.records))
        if upstream_id not in run.cell.leaving_since_s:
            if listed:
                _watch_leaving(run, upstream_id)
            run.cell.mark_leaving(upstream_id, listed)

    return inject


def _watch_leaving(run: "FuzzRun", upstream_id: UpstreamId) -> None:
    """Record what arrives at an upstream that does not know that it is leaving."""
    upstream = run.cell.upstreams.members[upstream_id]
    enter = upstream.enter

    def watched(request_id: str) -> None:
        upstream.leaving_starts.append(asyncio.get_running_loop().time())
        enter(request_id)

    upstream.enter = watched


async def _store_down(run: "FuzzRun") -> None:
    run.cell.table.faults.down = True
    await asyncio.sleep(run.rng.uniform(0.2, 20.0))
    run.cell.table.faults.down = False


async def _store_loses(run: "FuzzRun") -> None:
    run.cell.table.faults.timeout_ms = 200
    run.cell.table.faults.lost_reply_ratio = 0.3
    run.cell.table.faults.lost_request_ratio = 0.1


async def _store_slow(run: "FuzzRun") -> None:
    run.cell.table.faults.latency_ms = 400


async def _gateway_dies(run: "FuzzRun") -> None:
    gateway = run.rng.choice(list(run.cell.gateways.values()))
    if len(run.cell.gateways) > 1:
        await run.cell.kill(gateway)
        await asyncio.sleep(run.rng.uniform(0.0, 2.0))
        run.cell.lose_vm(gateway.vm_id)


async def _gateway_restarts(run: "FuzzRun") -> None:
    gateway = run.rng.choice(list(run.cell.gateways.values()))
    if len(run.cell.gateways) > 1:
        await run.cell.kill(gateway)
        await asyncio.sleep(run.rng.uniform(0.1, 2.0))
        await run.cell.add_gateway(gateway.vm_id)


async def _gateway_pauses(run: "FuzzRun") -> None:
    gateway = run.rng.choice(list(run.cell.gateways.values()))
    gateway.pause()
    await asyncio.sleep(run.rng.choice((0.5, 5.0, 60.0)))
    gateway.resume()


async def _gateway_joins(run: "FuzzRun") -> None:
    await run.cell.add_gateway(VmId(f"joined-{run.rng.getrandbits(16)}"))


async def _owner_taken_over(run: "FuzzRun") -> None:
    run.cell.take_over(run.rng.choice(list(run.cell.owners)))


async def _owner_unreachable(run: "FuzzRun") -> None:
    zone = run.rng.choice(list(run.cell.owners))
    run.cell.unreachable_owners.add(zone)
    await asyncio.sleep(run.rng.uniform(0.5, 10.0))
    run.cell.unreachable_owners.discard(zone)


async def _reports_lost(run: "FuzzRun") -> None:
    run.cell.exchange_loss_ratio = 0.3


async def _peers_unreachable(run: "FuzzRun") -> None:
    run.cell.peers_unreachable = True


async def _nothing(run: "FuzzRun") -> None:
    """Change only how the load is made."""


INJECTORS: dict[Fault, Callable] = {
    Fault.SLOW: _upstream_fault(service_ms=300.0),
    Fault.FAIL_FAST: _upstream_fault(fail_ratio=1.0),
    Fault.TRUNCATE: _upstream_fault(truncate_ratio=0.3, answer_bytes=100_000),
    Fault.CUT: _upstream_fault(cut_ratio=0.3),
    Fault.LATE: _upstream_fault(late_ratio=0.1),
    Fault.REFUSE: _upstream_fault(refusing=True),
    Fault.LEAVE_LISTED: _leave(True),
    Fault.LEAVE_SELF: _leave(False),
    Fault.STORE_DOWN: _store_down,
    Fault.STORE_LOST_REPLIES: _store_loses,
    Fault.STORE_SLOW: _store_slow,
    Fault.GATEWAY_DIES: _gateway_dies,
    Fault.GATEWAY_RESTARTS: _gateway_restarts,
    Fault.GATEWAY_PAUSES: _gateway_pauses,
    Fault.GATEWAY_JOINS: _gateway_joins,
    Fault.OWNER_TAKEN_OVER: _owner_taken_over,
    Fault.OWNER_UNREACHABLE: _owner_unreachable,
    Fault.REPORTS_LOST: _reports_lost,
    Fault.PEERS_UNREACHABLE: _peers_unreachable,
    Fault.OVERLOAD: _nothing,
    Fault.CALLERS_LEAVE: _nothing,
}
