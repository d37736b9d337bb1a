"""An advice service that answers one question at a time for each machine."""

import asyncio

import xxhash
from expression import Ok, Result

from basilhold.core import JobId, WorkerId
from basilhold.ports.runners import Admission, AdviceService
from basilhold.workflows.model import QueueName, QueuePolicy

__all__ = ["TurnAdvice"]

BACKLOG_MAX_S = 0.5


class TurnAdvice(AdviceService):
    """Admits the same workers of a step in each answer.

    Parameters
    ----------
    machine_count : int
        Machines that can ask at the same time.
    admitted_shares : dict of QueueName to float

    Attributes
    ----------
    question_count : int
    """

    def __init__(self, machine_count: int, admitted_shares: dict[QueueName, float]):
        self._free_at_s = [0.0] * machine_count
        self._shares = admitted_shares
        self.question_count = 0

    def is_available(self, policy: QueuePolicy, worker_count: int) -> bool:
        """Return whether a machine can ask soon."""
        now_s = asyncio.get_running_loop().time()
        return min(self._free_at_s) - now_s <= BACKLOG_MAX_S

    async def ask(
        self,
        job_id: JobId,
        occurrence: int,
        step: int,
        workers: tuple[WorkerId, ...],
        policy: QueuePolicy,
    ) -> Result[Admission, str]:
        """Return which of the named workers may run the step."""
        now_s = asyncio.get_running_loop().time()
        machine = min(range(len(self._free_at_s)), key=self._free_at_s.__getitem__)
        answer_s = policy.advice.answer_ms(len(workers)) / 1000
        ready_s = max(now_s, self._free_at_s[machine]) + answer_s
        self._free_at_s[machine] = ready_s
        self.question_count += 1
        await asyncio.sleep(ready_s - now_s)
        share = self._shares[policy.name]
        return Ok(
            Admission(
                {
                    worker_id: "ticket"
                    for worker_id in workers
                    if _draw(f"{job_id}.{occurrence}.{step} {worker_id}") < share
                }
            )
        )


def _draw(name: str) -> float:
    """Return a number from 0 to 1 that depends on the name alone."""
    return xxhash.xxh32_intdigest(name.encode()) / 2**32
