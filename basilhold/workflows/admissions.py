"""What is known about the workers that may run a step. Pure."""

import msgspec

from basilhold.core import JobId, WorkerId
from basilhold.workflows.model import QueueName

__all__ = ["AdmissionRecords", "StepAdmission", "StepKey"]

TICKET_MARGIN_MS = 150.0
"""A ticket is not used this shortly before it expires, and before the time that a
commit takes: the start has to be stored and sent first."""

COMMIT_WEIGHT = 0.3

ADMITTED_WEIGHT = 0.1
ADMITTED_AT_FIRST = 0.5
ADMITTED_MIN = 0.1
"""Share of the workers that a queue's policy admits: how fast it is learnt, what is
assumed before, and what it is taken for at least."""


class StepKey(msgspec.Struct, frozen=True):
    """Names one occurrence of a step."""

    job_id: JobId
    occurrence: int
    step: int


class StepAdmission(msgspec.Struct):
    """Answers about one step. Which workers are admitted does not change.

    Parameters
    ----------
    admitted, refused : set of WorkerId
    tickets : dict of WorkerId to (str, float)
        Ticket and time of the loop's clock until which it is used, in milliseconds.
    open_queries : int
        Questions that wait for their answer.
    unanswered : set of WorkerId
        Workers named in open questions of which nothing is known yet.
    retry_ms : float
        Time before which the service is not asked again after a failed call.
    """

    admitted: set[WorkerId] = msgspec.field(default_factory=set)
    refused: set[WorkerId] = msgspec.field(default_factory=set)
    tickets: dict[WorkerId, tuple[str, float]] = msgspec.field(default_factory=dict)
    open_queries: int = 0
    unanswered: set[WorkerId] = msgspec.field(default_factory=set)
    retry_ms: float = 0.0

    @property
    def is_unknown(self) -> bool:
        """Whether nothing is known about any worker."""
        return not self.admitted and not self.refused

    def may_ask(self, now_ms: float) -> bool:
        """Return whether questions may be sent: none is open or failed just now."""
        return not self.open_queries and now_ms >= self.retry_ms

    def query_sent(self, workers: tuple[WorkerId, ...]) -> None:
        """Note that a question waits for its answer."""
        self.open_queries += 1
        known = self.admitted | self.refused
        self.unanswered.update(w for w in workers if w not in known)

    def query_closed(self, workers: tuple[WorkerId, ...]) -> None:
        """Note that a question was answered or has failed."""
        self.open_queries -= 1
        self.unanswered.difference_update(workers)

    def ticket(self, worker_id: WorkerId, now_ms: float) -> str:
        """Return a ticket that can be used now, or an empty string."""
        ticket, until_ms = self.tickets.get(worker_id, ("", 0.0))
        return ticket if now_ms < until_ms else ""


class AdmissionRecords:
    """Answers about all steps of a service."""

    def __init__(self):
        self._steps: dict[StepKey, StepAdmission] = {}
        self._commit_ms = 20.0
        self._admitted: dict[QueueName, float] = {}

    def admitted_share(self, queue: QueueName) -> float:
        """Return which share of the workers a queue's policy admits."""
        return max(self._admitted.get(queue, ADMITTED_AT_FIRST), ADMITTED_MIN)

    def update_admitted_share(
        self, queue: QueueName, asked: int, admitted: int
    ) -> None:
        """Learn from an answer about workers that had not been asked about before."""
        known = self._admitted.get(queue, ADMITTED_AT_FIRST)
        self._admitted[queue] = known + ADMITTED_WEIGHT * (admitted / asked - known)

    def update_commit_time(self, took_ms: float) -> None:
        """Learn how long an assignment takes to be stored."""
        self._commit_ms += COMMIT_WEIGHT * (took_ms - self._commit_ms)

    def step(self, key: StepKey) -> StepAdmission:
        """Return what is known about a step."""
        known = self._steps.get(key)
        if known is None:
            known = self._steps[key] = StepAdmission()
        return known

    def record(
        self,
        key: StepKey,
        asked: tuple[WorkerId, ...],
        tickets: dict[WorkerId, str],
        valid_ms: float,
        now_ms: float,
    ) -> None:
        """Note an answer that arrived now."""
        known = self.step(key)
        # An assignment may wait for the commit before its own.
        until_ms = now_ms + valid_ms - TICKET_MARGIN_MS - 2 * self._commit_ms
        for worker_id in asked:
            if worker_id in tickets:
                known.admitted.add(worker_id)
                known.tickets[worker_id] = (tickets[worker_id], until_ms)
            else:
                known.refused.add(worker_id)

    def drop_ticket(self, key: StepKey, worker_id: WorkerId) -> None:
        """Forget a ticket that a worker did not accept."""
        self.step(key).tickets.pop(worker_id, None)

    def remove_job(self, job_id: JobId) -> None:
        """Forget a workflow that has ended."""
        for key in [key for key in self._steps if key.job_id == job_id]:
            del self._steps[key]
