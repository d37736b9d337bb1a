"""Record of the slot tokens of a zone and of the gateways that hold them."""

from enum import Enum

import msgspec

from basilhold.core import ProcessId, ServiceName, UpstreamId
from basilhold.requests.tokens import SlotToken

__all__ = ["SlotLedger", "SlotState"]


class SlotState(Enum):
    """State of a token as recorded by the owner of the shard.

    ``UNCLAIMED`` tokens may be held by a gateway that has not reported to this owner
    yet; they are frozen, that is, not granted.
    """

    FREE = "free"
    HELD = "held"
    UNCLAIMED = "unclaimed"


class _Entry(msgspec.Struct):
    state: SlotState
    holder: ProcessId | None = None
    expires_unix_ms: int = 0


class SlotLedger:
    """Tokens of one zone's upstreams, indexed by service and by holder.

    A holder is a gateway.
    """

    def __init__(self):
        self._services: dict[UpstreamId, ServiceName] = {}
        self._entries: dict[SlotToken, _Entry] = {}
        self._free: dict[ServiceName, dict[SlotToken, None]] = {}
        self._held: dict[ProcessId, dict[SlotToken, None]] = {}
        self._held_counts: dict[tuple[ProcessId, ServiceName], int] = {}

    def add_upstream(
        self,
        upstream_id: UpstreamId,
        service: ServiceName,
        slots: int,
        state: SlotState,
    ) -> None:
        """Add those tokens of an upstream that are not recorded yet.

        Parameters
        ----------
        upstream_id : UpstreamId
        service : ServiceName
        slots : int
            Number of the upstream's slots.
        state : SlotState
            State of the new tokens.
        """
        is_new = upstream_id not in self._services
        self._services[upstream_id] = service
        for slot in range(slots):
            token = SlotToken(upstream_id, slot)
            if token not in self._entries:
                self._entries[token] = _Entry(state)
                if state is SlotState.FREE:
                    self._free.setdefault(service, {})[token] = None
            elif is_new and self._entries[token].holder is not None:
                self._recompute_counts(self._entries[token].holder)

    def remove_upstream(self, upstream_id: UpstreamId) -> None:
        """Remove an upstream and its free tokens.

        Tokens that are held or unclaimed remain until they are released.
        """
        self._services.pop(upstream_id, None)
        for token in [t for t in self._entries if t.upstream_id == upstream_id]:
            for free in self._free.values():
                free.pop(token, None)
            entry = self._entries[token]
            if entry.state is SlotState.FREE:
                del self._entries[token]
            elif entry.holder is not None:
                self._recompute_counts(entry.holder)

    def upstream_ids(self) -> frozenset[UpstreamId]:
        """Return the upstreams that are present."""
        return frozenset(self._services)

    def service_of(self, token: SlotToken) -> ServiceName | None:
        """Return the service of a token, or ``None`` if its upstream was removed."""
        return self._services.get(token.upstream_id)

    def services(self) -> tuple[ServiceName, ...]:
        """Return the services that have upstreams.

        The order is deterministic, so that simulations can be repeated.
        """
        return tuple(dict.fromkeys(self._services.values()))

    def free(self, service: ServiceName) -> list[SlotToken]:
        """Return the free tokens of a service."""
        return list(self._free.get(service, ()))

    def free_count(self, service: ServiceName) -> int:
        """Return the number of free tokens of a service."""
        return len(self._free.get(service, ()))

    def held_by(self, holder: ProcessId) -> tuple[SlotToken, ...]:
        """Return the tokens that a gateway holds."""
        return tuple(self._held.get(holder, ()))

    def held_count(self, holder: ProcessId, service: ServiceName) -> int:
        """Return how many tokens of a service a gateway holds."""
        return self._held_counts.get((holder, service), 0)

    def slot_count(self, service: ServiceName) -> int:
        """Return the number of tokens of a service that are free or held."""
        held = sum(n for (_, s), n in self._held_counts.items() if s == service)
        return held + self.free_count(service)

    def holder(self, token: SlotToken) -> ProcessId | None:
        """Return the gateway that holds a token, or ``None``."""
        entry = self._entries.get(token)
        return None if entry is None else entry.holder

    def expiry(self, token: SlotToken) -> int:
        """Return the end of a token's lease as Unix time in milliseconds, or 0."""
        entry = self._entries.get(token)
        return 0 if entry is None else entry.expires_unix_ms

    def assign(self, token: SlotToken, holder: ProcessId, expires_unix_ms: int) -> None:
        """Record that a gateway holds a token until the given Unix time."""
        entry = self._entries.setdefault(token, _Entry(SlotState.UNCLAIMED))
        if entry.state is SlotState.FREE:
            self._free[self._services[token.upstream_id]].pop(token, None)
        if entry.holder != holder:
            self._change_count(token, holder, 1)
        entry.state = SlotState.HELD
        entry.holder = holder
        entry.expires_unix_ms = expires_unix_ms
        self._held.setdefault(holder, {})[token] = None

    def release(self, token: SlotToken) -> None:
        """Record that a token is free.

        The token is removed if its upstream was removed.
        """
        entry = self._entries[token]
        if entry.holder is not None:
            self._held[entry.holder].pop(token, None)
            self._change_count(token, entry.holder, -1)
        service = self.service_of(token)
        if service is None:
            del self._entries[token]
            return
        entry.state = SlotState.FREE
        entry.holder = None
        self._free.setdefault(service, {})[token] = None

    def unclaimed(self) -> list[SlotToken]:
        """Return the unclaimed tokens."""
        return [t for t, e in self._entries.items() if e.state is SlotState.UNCLAIMED]

    def all_held(self) -> list[SlotToken]:
        """Return the tokens that gateways are recorded to hold."""
        return [t for held in self._held.values() for t in held]

    def _change_count(self, token: SlotToken, holder: ProcessId, by: int) -> None:
        service = self.service_of(token)
        if service is not None:
            key = (holder, service)
            self._held_counts[key] = self._held_counts.get(key, 0) + by

    def _recompute_counts(self, holder: ProcessId) -> None:
        for key in [k for k in self._held_counts if k[0] == holder]:
            del self._held_counts[key]
        for token in self._held.get(holder, ()):
            self._change_count(token, holder, 1)
