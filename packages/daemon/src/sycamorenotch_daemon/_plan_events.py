"""Events of the plan."""

from __future__ import annotations

from dataclasses import dataclass
from typing import final

from sycamorenotch_kernel import Event
from sycamorenotch_kernel import Severity
from sycamorenotch_kernel import event


@event(4401, "plan.in-force")
@final
@dataclass(frozen=True, slots=True)
class PlanInForceChanged(Event):
    """A newer plan is in force on this instance."""

    term: int
    sequence: int
    holder: str


@event(4402, "plan.invalid", Severity.ERROR)
@final
@dataclass(frozen=True, slots=True)
class PlanInvalid(Event):
    """The stored plan is not valid; the one in force stays."""

    version: int
    detail: str


@event(4403, "plan.unavailable", Severity.WARNING)
@final
@dataclass(frozen=True, slots=True)
class PlanUnavailable(Event):
    """The plan could not be read; the one in force stays.

    Emitted for the first of several failures in a row.
    """

    detail: str


@event(4404, "plan.written")
@final
@dataclass(frozen=True, slots=True)
class PlanWritten(Event):
    """This instance, the holder of the lease, has written a plan."""

    decision: str
    term: int
    sequence: int
    reasons: str


@event(4405, "plan.not-written", Severity.WARNING)
@final
@dataclass(frozen=True, slots=True)
class PlanNotWritten(Event):
    """A plan could not be written, or it is not known whether it was."""

    term: int
    sequence: int
    detail: str


@event(4406, "plan.lease-lapsed", Severity.WARNING)
@final
@dataclass(frozen=True, slots=True)
class PlanLeaseLapsed(Event):
    """A plan was discarded because the lease lapsed while it was made."""

    term: int
    sequence: int
