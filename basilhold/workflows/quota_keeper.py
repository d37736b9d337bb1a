"""Reads a service's part of the tenants' quotas, and exchanges it with peers."""

import asyncio
import contextlib
from collections.abc import Callable

import msgspec

from basilhold.core import (
    ServiceName,
    decode_json,
)
from basilhold.observability import log_event, metric
from basilhold.ports import ABSENT, Condition, Row, TableService, Transaction, Write
from basilhold.tenants import (
    AllotmentLedger,
    Amounts,
    Parts,
    TenantName,
    TenantRequest,
    UseReport,
    amounts_of,
    is_valid_weight,
)
from basilhold.workflows import events
from basilhold.workflows.owner_state import OwnerState
from basilhold.workflows.quota_exchange import QuotaReply, QuotaRequest
from basilhold.workflows.recovery import SCAN_RETRY_INTERVAL_MS, scan_with_retries
from basilhold.workflows.rows import (
    QUOTA_HOME_KEY,
    allotments_prefix,
    parse_allotments_key,
)

__all__ = ["QuotaKeeper"]

EXCHANGE_INTERVAL_MS = 1_000.0
"""Interval at which other services are asked for headroom."""

RETRY_INTERVAL_MS = 150.0
"""Shortest time between two requests while work waits for quota."""

BAD_ROW_RETRY_S = 5.0
"""Time after which a damaged row is read again, as it may be repaired."""

STORE_WAIT_MS = 400.0
"""How long a request waits until what was given is stored. Without an answer, the
service that asks repeats its request and then learns of it."""

REPORTED_MAX = 20
"""Most names in a log line."""

RECORD_INTERVAL_MS = 2_000.0
"""Shortest time between two records of the use of the tenants for a successor."""

SHARE_METRICS = {
    "share": "basilhold_tenant_share",
    "due_share": "basilhold_tenant_due_share",
    "steps_behind": "basilhold_tenant_steps_behind",
}
"""Metrics of what `QuotaBook.describe_share` returns."""


class QuotaKeeper:
    """Quotas of one owner.

    Parameters
    ----------
    state : OwnerState
    request_commit : callable
        Asks for a commit that includes the changes of the ledger.
    """

    def __init__(
        self,
        state: OwnerState,
        request_commit: Callable[[], None],
    ):
        self._state = state
        self._book = state.quotas
        self._request_commit = request_commit
        self._home = ServiceName("")
        self._heard: set[ServiceName] = set()
        self._shown: set[TenantName] = set()
        self._record_ms = 0.0
        self._blocked_event = asyncio.Event()

    def refresh(self) -> None:
        """Apply the tenants of the newest configuration."""
        if self._book.update_registry(self._state.ports.tenants()):
            self._report_weights()

    def _report_weights(self) -> None:
        registry = self._book.registry
        invalid = [t.name for t in registry or () if not is_valid_weight(t.weight)]
        if invalid:
            log_event(
                events.TENANT_WEIGHT_INVALID,
                service=self._state.service,
                version=registry.version,
                tenants=",".join(sorted(invalid)[:REPORTED_MAX]),
                count=len(invalid),
            )

    def wake(self) -> None:
        """Ask the other services soon, as work waits for quota."""
        self._blocked_event.set()

    async def _load(self) -> None:
        """Read the allotments of the service, if there are tenants."""
        self.refresh()
        if self._book.registry is None or self._book.ledger is not None:
            return
        table, service = self._state.ports.table, self._state.service
        self._home = await _read_home(table, service)
        rows, _ = await scan_with_retries(table, allotments_prefix(service))
        ledger = AllotmentLedger(service, service == self._home, _rows_by_bucket(rows))
        for bucket in ledger.damaged:
            key = f"{allotments_prefix(service)}{bucket}"
            log_event(events.BAD_ROW, key=key, reason="allotments are lost")
        self._book.open(ledger)
        if self._state.ports.step_order.divides_capacity:
            self._book.shares.observe(self._state.time.now_ms())
            self._book.restore_shares()
        self._state.plan_event.set()

    async def run(self) -> None:
        """Exchange quota with the other services until cancelled.

        All tenants are looked at regularly, and those whose work waits for quota as
        soon as it does.
        """
        while True:
            await self._load()
            now_ms = self._state.clock.monotonic_ms()
            self._book.observe_use(now_ms)
            self._update_shares(now_ms)
            self._update_metrics()
            await self._ask_others([t.name for t in self._book.registry or ()])
            end_ms = now_ms + EXCHANGE_INTERVAL_MS
            while await self._wait_blocked(end_ms):
                await self._ask_others(list(self._book.blocked))

    def _update_shares(self, now_ms: float) -> None:
        """Update the use of the tenants, and record it from time to time."""
        if not self._state.ports.step_order.divides_capacity:
            return
        store_ms = self._state.time.now_ms()
        self._book.shares.observe(store_ms)
        if self._book.ledger is not None and now_ms >= self._record_ms:
            self._record_ms = now_ms + RECORD_INTERVAL_MS
            self._book.record_shares(self._capacity(), store_ms)

    def _capacity(self) -> Amounts:
        return amounts_of(self._state.pool.capacity())

    def _report_use(self) -> UseReport | None:
        """Return what other owners have to know about the use of the tenants."""
        if not self._state.ports.step_order.divides_capacity:
            return None
        return self._book.shares.report(self._capacity())

    def _receive_use(self, service: ServiceName, use: UseReport | None) -> None:
        if use is not None and self._state.ports.step_order.divides_capacity:
            self._book.shares.receive(service, use)

    async def _wait_blocked(self, end_ms: float) -> bool:
        """Wait until work waits for quota; return false once `end_ms` has passed."""
        await asyncio.sleep(RETRY_INTERVAL_MS / 1000)
        remaining_ms = end_ms - self._state.clock.monotonic_ms()
        if remaining_ms <= 0:
            return False
        try:
            async with asyncio.timeout(remaining_ms / 1000):
                await self._blocked_event.wait()
        except TimeoutError:
            return False
        self._blocked_event.clear()
        return True

    def _update_metrics(self) -> None:
        metrics, service = self._state.ports.metrics, self._state.service
        waiting = metric("basilhold_tenants_waiting_for_quota")
        metrics.set(waiting, len(self._book.blocked), service=service)
        ratio = metric("basilhold_tenant_quota_used_ratio")
        metrics.set(ratio, self._book.used_ratio(), service=service)
        if self._state.ports.step_order.divides_capacity:
            self._update_share_metrics()

    def _update_share_metrics(self) -> None:
        """Set the metrics of shares; tenants that use nothing any more are set to 0."""
        metrics, service = self._state.ports.metrics, self._state.service
        book, shares = self._book, self._book.shares
        total = self._capacity()
        names = shares.tenants_everywhere() | shares.behind_counts().keys()
        for name in {*names, *self._shown}:
            standing = book.describe_share(name, total)
            for key, metric_name in SHARE_METRICS.items():
                declared = metric(metric_name)
                metrics.set(declared, standing[key], service=service, tenant=name)
        self._shown = names

    def _others(self) -> list[ServiceName]:
        names = {*self._state.ports.services(), self._home}
        return sorted(names - {self._state.service})

    async def _ask_others(self, names: list[TenantName]) -> None:
        if self._book.ledger is None or not self._state.lease.is_valid():
            return
        others = self._others()
        now_ms = self._state.clock.monotonic_ms()
        requests = self._book.requests(names, len(others) + 1, now_ms)
        await asyncio.gather(*(self._ask(giver, requests) for giver in others))

    async def _ask(
        self, giver: ServiceName, requests: dict[TenantName, TenantRequest]
    ) -> None:
        first = giver not in self._heard
        use = self._report_use()
        if not requests and not first and use is None:
            return
        request = QuotaRequest(giver, self._state.service, requests, first, use)
        reply = await self._state.ports.quota_exchange.request(request)
        if not reply.current:
            # The reply may have named something that was given.
            self._heard.discard(giver)
            return
        self._heard.add(giver)
        self._receive_use(giver, reply.use)
        grown = [
            name
            for name, total in reply.sent.items()
            if self._book.ledger.receive(name, giver, total)
        ]
        if grown:
            log_event(
                events.QUOTA_RECEIVED,
                service=self._state.service,
                giver=giver,
                tenants=",".join(grown),
            )
            self._state.plan_event.set()

    async def serve(self, request: QuotaRequest) -> QuotaReply:
        """Give parts of quotas to another service.

        The reply contains only what is stored, so that no successor of this owner can
        use it too.
        """
        ledger = self._book.ledger
        if ledger is None or not self._state.lease.is_valid():
            return QuotaReply(False)
        self.refresh()
        self._receive_use(request.receiver, request.use)
        now_ms = self._state.clock.monotonic_ms()
        count = len(self._others()) + 1
        given = self._book.grant(request.receiver, request.tenants, count, now_ms)
        if given:
            log_event(
                events.QUOTA_GIVEN,
                service=self._state.service,
                receiver=request.receiver,
                tenants=",".join(given),
            )
            await self._wait_until_stored(request.receiver, given)
        sent = ledger.stored_sent(request.receiver)
        if not request.all_tenants:
            sent = {name: sent[name] for name in request.tenants if name in sent}
        return QuotaReply(not self._state.lease.is_lost, sent, self._report_use())

    async def _wait_until_stored(
        self, receiver: ServiceName, given: dict[TenantName, Parts]
    ) -> None:
        ledger, stored = self._book.ledger, self._state.ledger_stored
        self._request_commit()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(STORE_WAIT_MS / 1000):
                while not ledger.is_stored(receiver, given):
                    stored.clear()
                    await stored.wait()


async def _read_home(table: TableService, service: ServiceName) -> ServiceName:
    """Return the service that holds all quotas in the beginning.

    The first owner that reads it makes its own service the home, for good.
    """
    while True:
        result = await table.read((QUOTA_HOME_KEY,))
        if result.is_ok():
            row = result.ok.get(QUOTA_HOME_KEY)
            if row is not None:
                try:
                    return decode_json(row.value, ServiceName)
                except msgspec.DecodeError as error:
                    log_event(events.BAD_ROW, key=row.key, reason=error)
                    await asyncio.sleep(BAD_ROW_RETRY_S)
                    continue
            write = Write(QUOTA_HOME_KEY, msgspec.json.encode(service))
            condition = Condition(QUOTA_HOME_KEY, ABSENT)
            await table.transact(Transaction((condition,), (write,)))
            continue
        await asyncio.sleep(SCAN_RETRY_INTERVAL_MS / 1000)


def _rows_by_bucket(rows: list[Row]) -> dict[int, bytes]:
    """Return the rows of allotments by bucket; other rows are logged and skipped."""
    values: dict[int, bytes] = {}
    for row in rows:
        try:
            values[parse_allotments_key(row.key)] = row.value
        except ValueError as error:
            log_event(events.BAD_ROW, key=row.key, reason=error)
    return values
