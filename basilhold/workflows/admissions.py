"""Answers of the advice service about the workers that may run a step.

The advice service is an external service that decides which workers are admitted to
run a step, and returns a ticket for each of them. The module performs no I/O.
"""

import msgspec

from basilhold.core import JobId, WorkerId
from basilhold.workflows.model import QueueName

__all__ = ["AdmissionRecords", "StepAdmission", "StepKey"]

TICKET_MARGIN_MS = 150.0
"""Safety margin before the expiry of a ticket. The time that commits take is subtracted
as well, since a start has to be stored and sent before the ticket expires."""

COMMIT_TIME_WEIGHT = 0.3
"""Weight of a new measurement in the moving average of commit times."""

ADMITTED_SHARE_WEIGHT = 0.1
ADMITTED_SHARE_INITIAL = 0.5
ADMITTED_SHARE_MIN = 0.1
"""Estimate of the share of workers that a queue's policy admits: weight of a new answer
in the moving average, value before the first answer, and lower bound."""


class StepKey(msgspec.Struct, frozen=True):
    """Identifies one occurrence of a step."""

    job_id: JobId
    occurrence: int
    step: int


class StepAdmission(msgspec.Struct):
    """Answers of the advice service about one step.

    The service never changes its decision about a worker, so `admitted` and `refused`
    stay valid after tickets have expired.

    Parameters
    ----------
    admitted, refused : set of WorkerId
    tickets : dict of WorkerId to (str, float)
        Ticket, and time of the event loop's clock until which it may be used, in
        milliseconds.
    open_queries : int
        Queries that have not been answered yet.
    unanswered : set of WorkerId
        Workers in open queries that are neither admitted nor refused so far.
    wanted_slots : dict of WorkerId to int
        Number of the step's tasks for which each worker had room when the first
        queries were sent.
    retry_ms : float
        Time of the event loop's clock before which no query is sent, in milliseconds;
        set after a failed query.
    """

    admitted: set[WorkerId] = msgspec.field(default_factory=set)
    refused: set[WorkerId] = msgspec.field(default_factory=set)
    tickets: dict[WorkerId, tuple[str, float]] = msgspec.field(default_factory=dict)
    open_queries: int = 0
    unanswered: set[WorkerId] = msgspec.field(default_factory=set)
    wanted_slots: dict[WorkerId, int] = msgspec.field(default_factory=dict)
    retry_ms: float = 0.0

    @property
    def is_unknown(self) -> bool:
        """Whether no worker is known to be admitted or refused."""
        return not self.admitted and not self.refused

    def may_ask(self, now_ms: float) -> bool:
        """Return whether queries may be sent: none is open and none failed recently."""
        return not self.open_queries and now_ms >= self.retry_ms

    def query_sent(self, workers: tuple[WorkerId, ...]) -> None:
        """Record that a query about some workers was sent."""
        self.open_queries += 1
        decided = self.admitted | self.refused
        self.unanswered.update(w for w in workers if w not in decided)

    def query_closed(self, workers: tuple[WorkerId, ...]) -> None:
        """Record that a query about some workers was answered or has failed."""
        self.open_queries -= 1
        self.unanswered.difference_update(workers)

    def ticket(self, worker_id: WorkerId, now_ms: float) -> str:
        """Return a worker's ticket that may be used now, or an empty string."""
        ticket, until_ms = self.tickets.get(worker_id, ("", 0.0))
        return ticket if now_ms < until_ms else ""


class AdmissionRecords:
    """Answers of the advice service about all steps of a service's workflows."""

    def __init__(self):
        self._steps: dict[StepKey, StepAdmission] = {}
        self._commit_ms = 20.0
        self._admitted_shares: dict[QueueName, float] = {}

    def admitted_share(self, queue: QueueName) -> float:
        """Return the estimated share of workers that a queue's policy admits."""
        return max(
            self._admitted_shares.get(queue, ADMITTED_SHARE_INITIAL), ADMITTED_SHARE_MIN
        )

    def update_admitted_share(
        self, queue: QueueName, asked: int, admitted: int
    ) -> None:
        """Update the estimated share from an answer.

        Parameters
        ----------
        queue : QueueName
        asked, admitted : int
            Number of workers in the query, none of them known before, and how many of
            them were admitted.
        """
        share = self._admitted_shares.get(queue, ADMITTED_SHARE_INITIAL)
        self._admitted_shares[queue] = share + ADMITTED_SHARE_WEIGHT * (
            admitted / asked - share
        )

    def update_commit_time(self, took_ms: float) -> None:
        """Update the average time in which an assignment is stored, in milliseconds."""
        self._commit_ms += COMMIT_TIME_WEIGHT * (took_ms - self._commit_ms)

    def step(self, key: StepKey) -> StepAdmission:
        """Return the answers about a step."""
        admission = self._steps.get(key)
        if admission is None:
            admission = self._steps[key] = StepAdmission()
        return admission

    def record(
        self,
        key: StepKey,
        asked: tuple[WorkerId, ...],
        tickets: dict[WorkerId, str],
        valid_ms: float,
        now_ms: float,
    ) -> None:
        """Record an answer that has just arrived.

        Parameters
        ----------
        key : StepKey
        asked : tuple of WorkerId
            Workers named in the query.
        tickets : dict of WorkerId to str
            Tickets of the admitted workers; all other workers were refused.
        valid_ms : float
            Lifetime of the tickets, in milliseconds.
        now_ms : float
            Time of the event loop's clock, in milliseconds.
        """
        admission = self.step(key)
        # An assignment may have to wait for the preceding commit, hence two commits.
        until_ms = now_ms + valid_ms - TICKET_MARGIN_MS - 2 * self._commit_ms
        for worker_id in asked:
            if worker_id in tickets:
                admission.admitted.add(worker_id)
                admission.tickets[worker_id] = (tickets[worker_id], until_ms)
            else:
                admission.refused.add(worker_id)

    def drop_ticket(self, key: StepKey, worker_id: WorkerId) -> None:
        """Discard a ticket that a worker has rejected."""
        self.step(key).tickets.pop(worker_id, None)

    def drop_tickets(self, worker_id: WorkerId) -> None:
        """Discard all tickets of a worker; they are valid for one incarnation only."""
        for admission in self._steps.values():
            admission.tickets.pop(worker_id, None)

    def remove_job(self, job_id: JobId) -> None:
        """Discard the answers about a workflow that has ended."""
        for key in [key for key in self._steps if key.job_id == job_id]:
            del self._steps[key]
