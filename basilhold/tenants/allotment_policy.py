"""Decides how much of a quota a service asks for, and how much it gives away."""

from abc import ABC, abstractmethod

import msgspec

from basilhold.tenants.allotments import NOTHING, WHOLE, Parts

__all__ = [
    "AllotmentPolicy",
    "AllotmentView",
    "DemandPolicy",
    "EqualPartsPolicy",
    "LedgerPolicy",
    "PartsRequest",
]


class AllotmentView(msgspec.Struct, frozen=True):
    """Use of a tenant's allotment in one service.

    Parameters
    ----------
    held, used : Parts
        The allotment, and what runs use now.
    peak : Parts
        Recent maximum of `used`.
    missing : Parts
        What waiting tasks need beyond the allotment.
    protected : bool
        Whether tasks of this service that wait for quota come before those of the
        service that asks.
    """

    held: Parts
    used: Parts = NOTHING
    peak: Parts = NOTHING
    missing: Parts = NOTHING
    protected: bool = False

    @property
    def free(self) -> Parts:
        """The part of the allotment that no run uses."""
        return (self.held - self.used).at_least(NOTHING)


class PartsRequest(msgspec.Struct, frozen=True):
    """Parts of a quota that a service asks another one for.

    Parameters
    ----------
    needed : Parts
        For tasks that wait for it.
    wanted : Parts
        In addition, for tasks that are expected.
    """

    needed: Parts = NOTHING
    wanted: Parts = NOTHING

    def __bool__(self) -> bool:
        return bool(self.needed or self.wanted)


class AllotmentPolicy(ABC):
    """Divides the quotas among the services."""

    @abstractmethod
    def request(self, view: AllotmentView, service_count: int) -> PartsRequest:
        """Return what a service should ask for."""

    @abstractmethod
    def grant(
        self, view: AllotmentView, request: PartsRequest, service_count: int
    ) -> Parts:
        """Return what a service should give to another one that asks."""


class EqualPartsPolicy(AllotmentPolicy):
    """Each service holds an equal part of each quota, whatever it needs."""

    def request(self, view: AllotmentView, service_count: int) -> PartsRequest:
        """Ask for what is missing to an equal part."""
        missing = WHOLE.scaled(1 / service_count) - view.held
        return PartsRequest(wanted=missing.at_least(NOTHING))

    def grant(
        self, view: AllotmentView, request: PartsRequest, service_count: int
    ) -> Parts:
        """Give what exceeds an equal part."""
        excess = (view.held - WHOLE.scaled(1 / service_count)).at_least(NOTHING)
        return excess.at_most(request.wanted).at_most(view.free)


class LedgerPolicy(AllotmentPolicy):
    """Quota is given for tasks that wait for it, as a central ledger would grant it."""

    def request(self, view: AllotmentView, service_count: int) -> PartsRequest:
        """Ask for what waiting tasks need."""
        return PartsRequest(view.missing)

    def grant(
        self, view: AllotmentView, request: PartsRequest, service_count: int
    ) -> Parts:
        """Give whatever no run uses."""
        if view.protected:
            return NOTHING
        return request.needed.at_most(view.free)


class DemandPolicy(AllotmentPolicy):
    """Allotments follow the recent use, with some headroom for bursts."""

    HEADROOM_FACTOR = 1.5
    """Allotment that a service aims at, as a multiple of its recent peak."""

    LOW_FACTOR = 1.15
    """A service asks for more once its allotment is below this multiple of its peak."""

    def request(self, view: AllotmentView, service_count: int) -> PartsRequest:
        """Ask for what waiting tasks need, and for headroom if there is little."""
        target = view.peak.scaled(self.HEADROOM_FACTOR).at_most(WHOLE)
        low = view.peak.scaled(self.LOW_FACTOR).at_most(WHOLE)
        if not view.held:
            target = low = WHOLE.scaled(1 / service_count)
        if view.held.at_least(low) == view.held:
            return PartsRequest(view.missing)
        wanted = (target - view.held - view.missing).at_least(NOTHING)
        return PartsRequest(view.missing, wanted)

    def grant(
        self, view: AllotmentView, request: PartsRequest, service_count: int
    ) -> Parts:
        """Give what tasks wait for, and headroom that this service does not need."""
        if view.protected:
            return NOTHING
        needed = request.needed.at_most(view.free)
        kept = view.peak.scaled(self.HEADROOM_FACTOR)
        spare = (view.held - needed - kept).at_least(NOTHING)
        return needed + request.wanted.at_most(spare).at_most(view.free - needed)
