"""Slot tokens held by a gateway, and its reports to the owners of shards."""

from collections.abc import Callable, Iterable

import msgspec

from basilhold.core import (
    CLOCK_ERROR_MS,
    Epoch,
    InvariantError,
    ServiceName,
    UpstreamId,
    ZoneName,
)
from basilhold.requests.model import GatewayIdentity
from basilhold.requests.tokens import (
    HeldToken,
    ServiceDemand,
    SlotGrant,
    SlotReport,
    SlotToken,
)

__all__ = ["SlotHolder"]


class _Lease(msgspec.Struct):
    """Lease of one token; `recalled` is set if the owner wants an in-use token back."""

    zone: ZoneName
    expires_unix_ms: int
    in_use: bool = False
    recalled: bool = False


class SlotHolder:
    """Slot tokens that one gateway holds, idle or in use by a request.

    A token may be used until shortly before its lease ends: the margin is
    `CLOCK_ERROR_MS`, the bound of the error of the clocks.

    Parameters
    ----------
    identity : GatewayIdentity
        Identifies the gateway in its reports.
    on_change : callable, optional
        Called with an upstream's id after its number of idle tokens has changed.
    on_return : callable, optional
        Called with a zone after a recalled token was returned; a report to the owner
        of the zone is then due at once.
    """

    def __init__(
        self,
        identity: GatewayIdentity,
        on_change: Callable[[UpstreamId], None] = lambda upstream_id: None,
        on_return: Callable[[ZoneName], None] = lambda zone: None,
    ):
        self._identity = identity
        self.on_change = on_change
        self.on_return = on_return
        self._leases: dict[SlotToken, _Lease] = {}
        self._idle: dict[UpstreamId, list[SlotToken]] = {}
        self._held_counts: dict[UpstreamId, int] = {}
        self._epochs: dict[ZoneName, Epoch] = {}
        self._numbers: dict[ZoneName, int] = {}

    def idle_count(self, upstream_id: UpstreamId) -> int:
        """Return how many idle tokens of an upstream are held."""
        return len(self._idle.get(upstream_id, ()))

    def held_count(self, upstream_id: UpstreamId) -> int:
        """Return how many tokens of an upstream are held, idle or in use."""
        return self._held_counts.get(upstream_id, 0)

    def upstream_ids(self) -> tuple[UpstreamId, ...]:
        """Return the upstreams of which tokens are held."""
        return tuple(u for u, count in self._held_counts.items() if count)

    def epoch(self, zone: ZoneName) -> Epoch:
        """Return the highest epoch seen for a zone, or 0."""
        return self._epochs.get(zone, Epoch(0))

    def held(self, zone: ZoneName) -> tuple[SlotToken, ...]:
        """Return the tokens held for a zone's upstreams."""
        return tuple(t for t, lease in self._leases.items() if lease.zone == zone)

    def observe_epoch(self, zone: ZoneName, epoch: Epoch) -> None:
        """Record the epoch of a zone in the shard directory."""
        self._epochs[zone] = max(self.epoch(zone), epoch)

    def acquire(self, upstream_id: UpstreamId, now_unix_ms: int) -> SlotToken | None:
        """Mark an idle token as in use and return it, or ``None`` if there is none.

        Expired tokens are discarded.
        """
        idle = self._idle.get(upstream_id, [])
        while idle:
            token = idle.pop()
            lease = self._leases[token]
            if now_unix_ms + CLOCK_ERROR_MS < lease.expires_unix_ms:
                lease.in_use = True
                self.on_change(upstream_id)
                return token
            self._discard(token)
        self.on_change(upstream_id)
        return None

    def release(self, token: SlotToken) -> None:
        """Mark a token as idle after its request has ended.

        A recalled token is returned to the owner instead.

        Raises
        ------
        InvariantError
            If the token was not in use.
        """
        lease = self._leases.get(token)
        if lease is None or not lease.in_use:
            raise InvariantError(f"released slot token is not in use: {token}")
        lease.in_use = False
        if lease.recalled:
            self._discard(token)
            self.on_return(lease.zone)
        else:
            self._idle.setdefault(token.upstream_id, []).append(token)
        self.on_change(token.upstream_id)

    def next_report(
        self,
        zone: ZoneName,
        demand: Iterable[tuple[ServiceName, int]] = (),
        wait_ms: int = 0,
        now_unix_ms: int = 0,
        leaving: bool = False,
        leaving_upstream_ids: tuple[UpstreamId, ...] = (),
    ) -> SlotReport:
        """Make the next report to the owner of a zone's shard.

        Replies to earlier reports are no longer valid; `apply` ignores them.

        Parameters
        ----------
        zone : ZoneName
        demand : iterable of (ServiceName, int)
            Number of requests that wait for a token, by service.
        wait_ms : int
            How long the owner may delay its reply, in milliseconds.
        now_unix_ms : int
            Unix time in milliseconds; idle tokens that have expired are discarded.
        leaving : bool
            Whether the gateway is stopping.
        leaving_upstream_ids : tuple of UpstreamId
            Upstreams that have announced to the gateway that they are leaving.

        Returns
        -------
        SlotReport
        """
        self._discard_expired(zone, now_unix_ms)
        number = self._numbers.get(zone, 0) + 1
        self._numbers[zone] = number
        leases = [(t, lease) for t, lease in self._leases.items() if lease.zone == zone]
        leases.sort(key=lambda item: not item[1].in_use)
        return SlotReport(
            gateway_id=self._identity.process_id,
            vm_id=self._identity.vm_id,
            region=self._identity.region,
            started_unix_ms=self._identity.started_unix_ms,
            number=number,
            epoch=self.epoch(zone),
            held=tuple(HeldToken(t, lease.expires_unix_ms) for t, lease in leases),
            idle_count=sum(not lease.in_use for _, lease in leases),
            demand=tuple(ServiceDemand(s, n) for s, n in demand if n > 0),
            wait_ms=wait_ms,
            leaving=leaving,
            leaving_upstream_ids=leaving_upstream_ids,
        )

    def apply(self, zone: ZoneName, grant: SlotGrant) -> bool:
        """Apply the reply to the last report.

        Returns
        -------
        bool
            Whether tokens were returned, so that a report is due at once. False also
            if the reply was ignored: because it answers an earlier report, comes from
            an older epoch, or states that the owner refused the epoch of the report.
        """
        if grant.number != self._numbers.get(zone, 0) or grant.refused_epoch:
            return False
        if grant.epoch < self.epoch(zone):
            return False
        self._epochs[zone] = grant.epoch
        for held in grant.granted:
            self._add_or_renew(zone, held)
        returned = False
        for token in grant.recalled:
            lease = self._leases.get(token)
            if lease is None:
                continue
            if lease.in_use:
                lease.recalled = True
            else:
                self._idle[token.upstream_id].remove(token)
                self._discard(token)
                self.on_change(token.upstream_id)
                returned = True
        return returned

    def return_idle(self, zone: ZoneName) -> bool:
        """Return all idle tokens of a zone and mark the others as recalled.

        Returns
        -------
        bool
            Whether tokens were returned.
        """
        returned = False
        for token in self.held(zone):
            lease = self._leases[token]
            lease.recalled = True
            if not lease.in_use:
                self._idle[token.upstream_id].remove(token)
                self._discard(token)
                self.on_change(token.upstream_id)
                returned = True
        return returned

    def _add_or_renew(self, zone: ZoneName, held: HeldToken) -> None:
        lease = self._leases.get(held.token)
        if lease is not None:
            lease.expires_unix_ms = max(lease.expires_unix_ms, held.expires_unix_ms)
            return
        self._leases[held.token] = _Lease(zone, held.expires_unix_ms)
        upstream_id = held.token.upstream_id
        self._held_counts[upstream_id] = self.held_count(upstream_id) + 1
        self._idle.setdefault(upstream_id, []).append(held.token)
        self.on_change(upstream_id)

    def _discard(self, token: SlotToken) -> None:
        del self._leases[token]
        self._held_counts[token.upstream_id] -= 1

    def _discard_expired(self, zone: ZoneName, now_unix_ms: int) -> None:
        for token in self.held(zone):
            lease = self._leases[token]
            expired = lease.expires_unix_ms <= now_unix_ms + CLOCK_ERROR_MS
            if expired and not lease.in_use:
                self._idle[token.upstream_id].remove(token)
                self._discard(token)
                self.on_change(token.upstream_id)
