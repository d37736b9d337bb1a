"""Spreads questions to the advice service over the machines.

The service answers one question at a time for each calling machine, so questions of
one machine queue while the turns of others are unused.
"""

import asyncio
from collections.abc import Callable

import xxhash
from expression import Result

from basilhold.core import JobId, RegionName, WorkerId
from basilhold.ports.runners import Admission, AdviceService
from basilhold.workflows.model import QueuePolicy
from basilhold.workflows.peers import Member, PeerCalls

__all__ = ["AdviceBalancer"]

BACKLOG_MAX_MS = 500.0
"""Questions that would wait longer for their turn are not asked yet; by then the room
that they are asked for may be gone."""

FAILED_TURN_MS = 3_000.0
"""How long a peer that did not answer gets no questions."""

LONG_QUESTION_MS = 120.0
"""Questions that take longer leave some turns to quick ones of urgent work."""

QUICK_TURNS_SHARE = 0.3
"""Share of the turns, rounded down but at least one, that is kept for quick questions.
These need half of a turn on the loaded days; long ones filled half of the turns and
waited up to 1.4 s beside idle ones."""

EXCESS_WEIGHT = 0.4
"""How fast the delays that other owners' questions cause are learnt."""

EXCESS_HALF_LIFE_MS = 1_500.0
FAR_PENALTY_MS = 65.0
"""Round trip to a machine in another region."""

NEAR_PENALTY_MS = 3.0


class AdviceBalancer(AdviceService):
    """Asks from the machine whose turn is free soonest.

    Parameters
    ----------
    own_endpoint : str
    local : AdviceService
        Asks from this machine.
    peers : PeerCalls
    members : callable
        Returns the processes that are alive, own included.
    region : RegionName
        Of this machine.
    """

    def __init__(
        self,
        own_endpoint: str,
        local: AdviceService,
        peers: PeerCalls,
        members: Callable[[], list[Member]],
        region: RegionName,
    ):
        self._own = own_endpoint
        self._local = local
        self._peers = peers
        self._members = members
        self._region = region
        self._free_at_ms: dict[str, float] = {}
        self._failed_until_ms: dict[str, float] = {}
        self._excess_ms: dict[str, float] = {}

    def is_available(self, policy: QueuePolicy, worker_count: int) -> bool:
        """Return whether a turn is free soon."""
        now_ms = asyncio.get_running_loop().time() * 1000
        endpoint = self._choose(now_ms, _answer_ms(policy, worker_count))
        return self._free_at_ms.get(endpoint, 0.0) - now_ms <= BACKLOG_MAX_MS

    async def ask(
        self,
        job_id: JobId,
        occurrence: int,
        step: int,
        workers: tuple[WorkerId, ...],
        policy: QueuePolicy,
    ) -> Result[Admission, str]:
        """Return which of the named workers may run the step."""
        now_ms = asyncio.get_running_loop().time() * 1000
        answer_ms = _answer_ms(policy, len(workers))
        endpoint = self._choose(now_ms, answer_ms)
        begin_ms = max(now_ms, self._free_at_ms.get(endpoint, 0.0))
        self._free_at_ms[endpoint] = begin_ms + answer_ms
        if endpoint == self._own:
            result = await self._local.ask(job_id, occurrence, step, workers, policy)
        else:
            result = await self._peers.advise(
                endpoint, job_id, occurrence, step, workers, policy
            )
        self._learn(endpoint, begin_ms + answer_ms, result.is_error())
        return result

    def _learn(self, endpoint: str, expected_ms: float, failed: bool) -> None:
        """Note how much later than expected a machine has answered."""
        now_ms = asyncio.get_running_loop().time() * 1000
        known_ms = self._excess_ms.get(endpoint, 0.0)
        excess_ms = max(0.0, now_ms - expected_ms)
        self._excess_ms[endpoint] = known_ms + EXCESS_WEIGHT * (excess_ms - known_ms)
        if failed:
            self._failed_until_ms[endpoint] = now_ms + FAILED_TURN_MS

    def _choose(self, now_ms: float, answer_ms: float) -> str:
        """Return where the answer is expected soonest."""
        members = [
            member
            for member in self._members()
            if self._failed_until_ms.get(member.endpoint, 0.0) <= now_ms
        ]
        members.sort(key=lambda member: member.endpoint)
        kept = max(1, int(QUICK_TURNS_SHARE * len(members)))
        split = max(1, len(members) - kept)
        is_long = answer_ms > LONG_QUESTION_MS
        shared, quick = members[:split], members[split:]
        best, best_ms = self._own, float("inf")
        for member in sorted(shared if is_long else members, key=self._preference):
            expected_ms = max(now_ms, self._free_at_ms.get(member.endpoint, 0.0))
            expected_ms += self._distance_ms(member)
            expected_ms += self._excess_now_ms(member.endpoint, now_ms)
            if quick and not is_long and member in shared:
                # Turns that other owners may use for long questions are second best.
                expected_ms += FAR_PENALTY_MS
            if expected_ms < best_ms:
                best, best_ms = member.endpoint, expected_ms
        return best

    def _preference(self, member: Member) -> int:
        """Return this owner's order of equal turns, which differs between owners."""
        return xxhash.xxh32_intdigest(f"{self._own} {member.endpoint}".encode())

    def _excess_now_ms(self, endpoint: str, now_ms: float) -> float:
        """Return the learnt delay, which fades while a machine is not asked."""
        idle_ms = max(0.0, now_ms - self._free_at_ms.get(endpoint, 0.0))
        fading = 0.5 ** (idle_ms / EXCESS_HALF_LIFE_MS)
        return self._excess_ms.get(endpoint, 0.0) * fading

    def _distance_ms(self, member: Member) -> float:
        if member.endpoint == self._own:
            return 0.0
        return NEAR_PENALTY_MS if member.region == self._region else FAR_PENALTY_MS


def _answer_ms(policy: QueuePolicy, worker_count: int) -> float:
    return policy.advice.answer_ms(worker_count) if policy.advice else 0.0
