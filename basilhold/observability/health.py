"""Readiness and liveness of a process."""

from abc import ABC, abstractmethod

import msgspec

from basilhold.observability.events import CHECK_FAILED, log_event

__all__ = ["Health", "HealthReport", "ReadinessCheck"]


class ReadinessCheck(ABC):
    """A condition that must hold before a process gets work."""

    @property
    @abstractmethod
    def name(self) -> str:
        """Name of the check, unique in a process."""

    @abstractmethod
    def problem(self) -> str:
        """Return why the process is not ready, or an empty text if it is."""


class HealthReport(msgspec.Struct, frozen=True):
    """Body of ``/healthz`` and ``/readyz``.

    Parameters
    ----------
    ok : bool
    process_id : str
    reasons : dict of str to str
        Problem by name of the check.
    """

    ok: bool
    process_id: str
    reasons: dict[str, str]


class Health:
    """Collects the checks of a process.

    Parameters
    ----------
    process_id : str

    Attributes
    ----------
    draining : bool
        Set when a planned stop begins.
    fatal : str
        Set when the process cannot go on, for example because an invariant is
        broken; ``/healthz`` then fails.
    """

    def __init__(self, process_id: str):
        self._process_id = process_id
        self._checks: dict[str, ReadinessCheck] = {}
        self.draining = False
        self.fatal = ""

    def add_check(self, check: ReadinessCheck) -> None:
        """Include a check.

        Raises
        ------
        ValueError
            If another check has the same name.
        """
        if check.name in self._checks:
            raise ValueError(f"readiness check {check.name} is added twice")
        self._checks[check.name] = check

    def liveness(self) -> HealthReport:
        """Return whether the process works at all."""
        reasons = {"fatal": self.fatal} if self.fatal else {}
        return HealthReport(not reasons, self._process_id, reasons)

    def readiness(self) -> HealthReport:
        """Return whether the process can be given work, and if not, why."""
        reasons = dict(self.liveness().reasons)
        if self.draining:
            reasons["drain"] = "a planned stop is in progress"
        for name, check in self._checks.items():
            problem = _run(check)
            if problem:
                reasons[name] = problem
        return HealthReport(not reasons, self._process_id, reasons)


def _run(check: ReadinessCheck) -> str:
    try:
        return check.problem()
    except Exception as error:  # a faulty check must not count as passed
        log_event(CHECK_FAILED, check=check.name, error=repr(error))
        return f"the check failed with {type(error).__name__}"
