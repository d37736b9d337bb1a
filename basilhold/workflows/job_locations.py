"""Locations of workflows: the services under which they have been submitted.

A workflow's rows are named after the service that its queue had at the submission. A
later version of the configuration may send the queue to another service, and processes
may follow either version for some time. A row that is named after the id alone makes
the id unique all the same, and tells under which service the other rows are.
"""

from collections.abc import Callable

import msgspec
from expression import Error, Ok, Result

from basilhold.core import JobId, JsonDecoder, ServiceName
from basilhold.observability import log_event
from basilhold.ports import (
    ABSENT,
    Condition,
    Row,
    StoreError,
    TableService,
    Transaction,
    Write,
)
from basilhold.workflows import events
from basilhold.workflows.model import WorkflowSpec
from basilhold.workflows.rows import JobLocation, location_key, spec_key

__all__ = ["JobLocator", "make_submission"]

PREVIOUS_BUILD_SERVICES_MAX = 4
"""Number of other services up to which a submission also depends on what the previous
build has stored, without a location. Each of them is one more shard of the store that
has to answer."""

_DECODER = JsonDecoder(JobLocation)


def make_submission(
    spec: WorkflowSpec, services: tuple[ServiceName, ...]
) -> Transaction:
    """Return the transaction that stores a workflow, unless its id is taken.

    Parameters
    ----------
    spec : WorkflowSpec
    services : tuple of ServiceName
        All known services.
    """
    key, service = spec_key(spec.policy.service, spec.job_id), spec.policy.service
    location = location_key(spec.job_id)
    taken = [spec_key(other, spec.job_id) for other in services if other != service]
    if len(taken) > PREVIOUS_BUILD_SERVICES_MAX:
        taken = []
    return Transaction(
        tuple(Condition(name, ABSENT) for name in (key, location, *taken)),
        (
            Write(key, msgspec.json.encode(spec)),
            Write(location, msgspec.json.encode(JobLocation(service))),
        ),
    )


class JobLocator:
    """Finds workflows that are not stored under the present service of their queue.

    Parameters
    ----------
    table : TableService
    services : callable
        Returns all known services.
    """

    def __init__(
        self, table: TableService, services: Callable[[], tuple[ServiceName, ...]]
    ):
        self._table = table
        self._services = services

    async def find_elsewhere(
        self, service: ServiceName, job_id: JobId
    ) -> Result[ServiceName | None, StoreError]:
        """Return the service of a workflow that is not stored under the given one.

        Returns
        -------
        Result of (ServiceName or None, StoreError)
            ``None`` if the workflow is not stored under another service either.
        """
        location = location_key(job_id)
        others = [other for other in self._services() if other != service]
        keys = {spec_key(other, job_id): other for other in others}
        read = await self._table.read((location, *keys))
        if read.is_error():
            return Error(read.error)
        if location in read.ok:
            found = _decode_location(read.ok[location])
            if found is not None:
                return Ok(found if found != service else None)
        for key, other in keys.items():
            if key in read.ok:
                return Ok(other)
        return Ok(None)


def _decode_location(row: Row) -> ServiceName | None:
    """Return the service that a row names, or ``None`` if the row is damaged."""
    try:
        return _DECODER.decode(row.value).service
    except msgspec.DecodeError as error:
        log_event(events.BAD_ROW, key=row.key, reason=error)
        return None
