"""Liveness and readiness of a process."""

from abc import ABC, abstractmethod

import msgspec

from basilhold.observability.events import READINESS_CHECK_FAILED, log_event

__all__ = ["Health", "HealthReport", "ReadinessCheck"]


class ReadinessCheck(ABC):
    """A condition that must be met before a process receives work."""

    @property
    @abstractmethod
    def name(self) -> str:
        """Name of the check; unique in a process."""

    @abstractmethod
    def problem(self) -> str:
        """Return why the process is not ready, or an empty string if it is."""


class HealthReport(msgspec.Struct, frozen=True):
    """Response body of ``/healthz`` and ``/readyz``.

    Parameters
    ----------
    ok : bool
        Whether the process is live or ready, respectively.
    process_id : str
    reasons : dict of str to str
        Problems, by name of the failed check.
    """

    ok: bool
    process_id: str
    reasons: dict[str, str]


class Health:
    """Liveness and readiness of a process, derived from its checks.

    Parameters
    ----------
    process_id : str

    Attributes
    ----------
    draining : bool
        Set when a planned stop begins; ``/readyz`` then fails.
    fatal : str
        Description of an error after which the process cannot continue, such as a
        violated invariant. If set, ``/healthz`` and ``/readyz`` fail.
    """

    def __init__(self, process_id: str):
        self._process_id = process_id
        self._checks: dict[str, ReadinessCheck] = {}
        self.draining = False
        self.fatal = ""

    def add_check(self, check: ReadinessCheck) -> None:
        """Add a check.

        Raises
        ------
        ValueError
            If another check has the same name.
        """
        if check.name in self._checks:
            raise ValueError(f"readiness check {check.name} was already added")
        self._checks[check.name] = check

    def liveness(self) -> HealthReport:
        """Return whether the process can continue to run."""
        reasons = {"fatal": self.fatal} if self.fatal else {}
        return HealthReport(not reasons, self._process_id, reasons)

    def readiness(self) -> HealthReport:
        """Return whether the process can receive work, and the reasons if not."""
        reasons = dict(self.liveness().reasons)
        if self.draining:
            reasons["drain"] = "a planned stop is in progress"
        for name, check in self._checks.items():
            problem = _run_check(check)
            if problem:
                reasons[name] = problem
        return HealthReport(not reasons, self._process_id, reasons)


def _run_check(check: ReadinessCheck) -> str:
    try:
        return check.problem()
    except Exception as error:  # an exception must not count as success
        log_event(READINESS_CHECK_FAILED, check=check.name, error=repr(error))
        return f"the check failed with {type(error).__name__}"
