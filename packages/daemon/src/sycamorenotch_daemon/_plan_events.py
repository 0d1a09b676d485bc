"""Events of plan distribution and planning."""

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
    """The stored plan is invalid; the plan in force stays."""

    version: int
    detail: str


@event(4403, "plan.unavailable", Severity.WARNING)
@final
@dataclass(frozen=True, slots=True)
class PlanUnavailable(Event):
    """The plan could not be read; the plan in force stays.

    Emitted only for the first of consecutive failures.
    """

    detail: str


@event(4404, "plan.written")
@final
@dataclass(frozen=True, slots=True)
class PlanWritten(Event):
    """This instance wrote a plan as the lease holder."""

    decision: str
    term: int
    sequence: int
    reasons: str


@event(4405, "plan.not-written", Severity.WARNING)
@final
@dataclass(frozen=True, slots=True)
class PlanNotWritten(Event):
    """A plan was not written, or the outcome of the write is unknown."""

    term: int
    sequence: int
    detail: str


@event(4406, "plan.lease-lapsed", Severity.WARNING)
@final
@dataclass(frozen=True, slots=True)
class PlanLeaseLapsed(Event):
    """A plan was discarded because the lease expired while it was computed."""

    term: int
    sequence: int
