"""Spreads questions to the advice service over the machines.

The service answers one question at a time for each calling machine, so questions of
one machine queue while the turns of others are unused.
"""

import asyncio
from collections.abc import Callable

from expression import Error, Result

from basilhold.core import JobId, WorkerId
from basilhold.ports.runners import Admission, AdviceService
from basilhold.workflows.model import QueuePolicy
from basilhold.workflows.peers import PeerCalls

__all__ = ["SpreadAdvice"]

BACKLOG_MAX_MS = 2_000.0
"""Questions that would wait longer than this are not asked yet; a ticket from then on
would be valid for less than the time already waited."""

FAILED_TURN_MS = 3_000.0
"""How long a peer that did not answer gets no questions."""

SHARED_TURN_PENALTY_MS = 5.0


class SpreadAdvice(AdviceService):
    """Asks from the machine whose turn is free soonest.

    Parameters
    ----------
    own_endpoint : str
    local : AdviceService
        Asks from this machine.
    peers : PeerCalls
    endpoints : callable
        Returns the endpoints of the processes that are alive, own included.
    """

    def __init__(
        self,
        own_endpoint: str,
        local: AdviceService,
        peers: PeerCalls,
        endpoints: Callable[[], list[str]],
    ):
        self._own = own_endpoint
        self._local = local
        self._peers = peers
        self._endpoints = endpoints
        self._free_at_ms: dict[str, float] = {}
        self._failed_until_ms: dict[str, float] = {}

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
        endpoint = self._choose(now_ms)
        begin_ms = max(now_ms, self._free_at_ms.get(endpoint, 0.0))
        if begin_ms - now_ms > BACKLOG_MAX_MS:
            return Error("all turns are taken")
        answer_ms = policy.advice.answer_ms(len(workers)) if policy.advice else 0.0
        self._free_at_ms[endpoint] = begin_ms + answer_ms
        if endpoint == self._own:
            return await self._local.ask(job_id, occurrence, step, workers, policy)
        result = await self._peers.advise(
            endpoint, job_id, occurrence, step, workers, policy
        )
        if result.is_error():
            now_ms = asyncio.get_running_loop().time() * 1000
            self._failed_until_ms[endpoint] = now_ms + FAILED_TURN_MS
        return result

    def _choose(self, now_ms: float) -> str:
        usable = [
            endpoint
            for endpoint in self._endpoints()
            if endpoint == self._own
            or self._failed_until_ms.get(endpoint, 0.0) <= now_ms
        ] or [self._own]
        return min(
            usable,
            key=lambda endpoint: (
                max(now_ms, self._free_at_ms.get(endpoint, 0.0))
                + (0.0 if endpoint == self._own else SHARED_TURN_PENALTY_MS)
            ),
        )
