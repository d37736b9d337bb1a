"""Load balancing of queries to the advice service over the machines.

The service processes one query at a time for each calling machine. Queries that are all
sent from one machine queue up there while the service could process queries from other
machines.
"""

import asyncio
from collections.abc import Callable

import xxhash
from expression import Result

from basilhold.core import JobId, RegionName, WorkerId
from basilhold.ports.runners import Admission, AdviceService
from basilhold.workflows.model import QueuePolicy
from basilhold.workflows.peers import Member, PeerClient

__all__ = ["AdviceBalancer"]

BACKLOG_MAX_MS = 500.0
"""Queries that would queue for longer are not sent yet, as the capacity for which they
are sent may be taken by the time of the answer."""

FAILED_PAUSE_MS = 3_000.0
"""Time for which a machine gets no queries after a failed one."""

LONG_QUERY_MS = 120.0
"""Queries that take longer leave some machines to the quick queries of urgent work."""

QUICK_MACHINES_SHARE = 0.3
"""Share of the machines, rounded down but at least one, reserved for quick queries.

On days of high load, quick queries take half the time of one machine. Long queries
occupied half of the machines and queued for up to 1.4 s while other machines were idle.
"""

DELAY_WEIGHT = 0.4
"""Weight of a new measurement in the moving average of a machine's extra delay, which
the queries of other owners cause."""

DELAY_HALF_LIFE_MS = 1_500.0
"""Half-life of the extra delay of a machine that is not used."""

OTHER_REGION_PENALTY_MS = 65.0
"""Round trip to a machine in another region."""

SAME_REGION_PENALTY_MS = 3.0
"""Round trip to another machine in the same region."""


class AdviceBalancer(AdviceService):
    """Sends each query from the machine on which the answer is expected soonest.

    Parameters
    ----------
    own_endpoint : str
        Endpoint of this process.
    local : AdviceService
        Sends queries from this machine.
    peers : PeerClient
        Lets other processes send queries from their machines.
    members : callable
        Returns the live processes, including this one.
    region : RegionName
        Region of this machine.
    """

    def __init__(
        self,
        own_endpoint: str,
        local: AdviceService,
        peers: PeerClient,
        members: Callable[[], list[Member]],
        region: RegionName,
    ):
        self._own_endpoint = own_endpoint
        self._local = local
        self._peers = peers
        self._members = members
        self._region = region
        self._idle_at_ms: dict[str, float] = {}
        self._paused_until_ms: dict[str, float] = {}
        self._extra_delay_ms: dict[str, float] = {}
        self._tie_breaks: dict[str, int] = {}

    def is_available(self, policy: QueuePolicy, worker_count: int) -> bool:
        """Return whether a query sent now would queue for at most `BACKLOG_MAX_MS`."""
        now_ms = asyncio.get_running_loop().time() * 1000
        endpoint = self._choose_endpoint(now_ms, _answer_ms(policy, worker_count))
        return self._idle_at_ms.get(endpoint, 0.0) - now_ms <= BACKLOG_MAX_MS

    async def ask(
        self,
        job_id: JobId,
        occurrence: int,
        step: int,
        workers: tuple[WorkerId, ...],
        policy: QueuePolicy,
    ) -> Result[Admission, str]:
        """Return which of the workers may run the step, or the reason of a failure."""
        now_ms = asyncio.get_running_loop().time() * 1000
        answer_ms = _answer_ms(policy, len(workers))
        endpoint = self._choose_endpoint(now_ms, answer_ms)
        begin_ms = max(now_ms, self._idle_at_ms.get(endpoint, 0.0))
        self._idle_at_ms[endpoint] = begin_ms + answer_ms
        if endpoint == self._own_endpoint:
            result = await self._local.ask(job_id, occurrence, step, workers, policy)
        else:
            result = await self._peers.advise(
                endpoint, job_id, occurrence, step, workers, policy
            )
        self._record_answer(endpoint, begin_ms + answer_ms, result.is_error())
        return result

    def _record_answer(self, endpoint: str, expected_ms: float, failed: bool) -> None:
        """Update the extra delay of a machine from an answer that has just arrived.

        Parameters
        ----------
        endpoint : str
        expected_ms : float
            Time of the event loop's clock at which the answer was expected, in
            milliseconds.
        failed : bool
        """
        now_ms = asyncio.get_running_loop().time() * 1000
        average_ms = self._extra_delay_ms.get(endpoint, 0.0)
        delay_ms = max(0.0, now_ms - expected_ms)
        self._extra_delay_ms[endpoint] = average_ms + DELAY_WEIGHT * (
            delay_ms - average_ms
        )
        if failed:
            self._paused_until_ms[endpoint] = now_ms + FAILED_PAUSE_MS

    def _choose_endpoint(self, now_ms: float, answer_ms: float) -> str:
        """Return the endpoint from which an answer is expected soonest.

        Parameters
        ----------
        now_ms : float
            Time of the event loop's clock, in milliseconds.
        answer_ms : float
            Time that the service takes for the answer, in milliseconds.
        """
        members = [
            member
            for member in self._members()
            if self._paused_until_ms.get(member.endpoint, 0.0) <= now_ms
        ]
        members.sort(key=lambda member: member.endpoint)
        quick_count = max(1, int(QUICK_MACHINES_SHARE * len(members)))
        split = max(1, len(members) - quick_count)
        is_long = answer_ms > LONG_QUERY_MS
        shared, quick_only = members[:split], members[split:]
        best, best_ms = self._own_endpoint, float("inf")
        shared_endpoints = {member.endpoint for member in shared}
        for member in sorted(shared if is_long else members, key=self._tie_break):
            expected_ms = max(now_ms, self._idle_at_ms.get(member.endpoint, 0.0))
            expected_ms += self._round_trip_ms(member)
            expected_ms += self._decayed_delay_ms(member.endpoint, now_ms)
            if quick_only and not is_long and member.endpoint in shared_endpoints:
                # Quick queries avoid machines that may process other owners' long ones.
                expected_ms += OTHER_REGION_PENALTY_MS
            if expected_ms < best_ms:
                best, best_ms = member.endpoint, expected_ms
        return best

    def _tie_break(self, member: Member) -> int:
        """Return a sort key of equally fast machines that differs between owners."""
        endpoint = member.endpoint
        digest = self._tie_breaks.get(endpoint)
        if digest is None:
            name = f"{self._own_endpoint} {endpoint}"
            digest = xxhash.xxh32_intdigest(name.encode())
            self._tie_breaks[endpoint] = digest
        return digest

    def _decayed_delay_ms(self, endpoint: str, now_ms: float) -> float:
        """Return a machine's extra delay, which decays while it is not used."""
        idle_ms = max(0.0, now_ms - self._idle_at_ms.get(endpoint, 0.0))
        decay = 0.5 ** (idle_ms / DELAY_HALF_LIFE_MS)
        return self._extra_delay_ms.get(endpoint, 0.0) * decay

    def _round_trip_ms(self, member: Member) -> float:
        """Return the round trip to a process, in milliseconds."""
        if member.endpoint == self._own_endpoint:
            return 0.0
        return (
            SAME_REGION_PENALTY_MS
            if member.region == self._region
            else OTHER_REGION_PENALTY_MS
        )


def _answer_ms(policy: QueuePolicy, worker_count: int) -> float:
    """Return the answering time that a policy allows for, in milliseconds."""
    return policy.advice.answer_ms(worker_count) if policy.advice else 0.0
