"""Inputs and outputs of the steering policies."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from datetime import datetime
from datetime import timedelta
from typing import Protocol
from typing import final

from sycamorenotch_kernel import Environment
from sycamorenotch_kernel import Event
from sycamorenotch_kernel import InstanceId
from sycamorenotch_kernel import ListedInstance
from sycamorenotch_kernel import Plan
from sycamorenotch_kernel import Rank


@final
@dataclass(frozen=True, slots=True)
class Demand:
    """Requests that clients of one region offer, summed over the instances.

    :param rate: requests per second, refused ones included.
    :param age: time since the oldest part of the sum was measured.
    :param window: time over which the rate was averaged; the shorter it is, the
        more is kept free below the shift cap.
    """

    service: str
    source: str
    rank: Rank
    rate: float
    age: timedelta
    window: timedelta = timedelta(seconds=10)


@final
@dataclass(frozen=True, slots=True)
class WorkerReport:
    """What is known about one upstream worker.

    :param usable: whether new work may be sent to it at all.
    :param load: reported load as a share of its slots, if it reports any.
    :param age: time since the report was made.
    :param failures: share of the instances' own requests to it that failed.
    :param latency: time that the instances saw a request take on it.
    :param in_service: time since it was first seen to answer, for the ramp.
    """

    worker: str
    usable: bool
    load: float | None
    age: timedelta
    failures: float = 0.0
    latency: timedelta | None = None
    in_service: timedelta = timedelta.max


@final
@dataclass(frozen=True, slots=True)
class InstanceContact:
    """What the holder knows of an instance's plan.

    :param sequence: highest plan sequence that the instance confirmed to be in
        force, with its requests in flight inside the grants; -1 if none.
    :param silence: time since the holder last confirmed a loan to it, or since
        the holder took the lease if it has not yet done so.
    :param gone: time since the platform's list stopped to name the instance;
        None while it names it.
    """

    instance: InstanceId
    sequence: int
    silence: timedelta
    gone: timedelta | None = None


@final
@dataclass(frozen=True, slots=True)
class SteeringView:
    """Everything that a steering policy decides from.

    :param holder: instance that makes the plan.
    :param instances: the platform's list, this instance included.
    :param drained: regions that an operator has told to drain.
    """

    environment: Environment
    generation: int
    holder: InstanceId
    instances: tuple[ListedInstance, ...]
    contacts: tuple[InstanceContact, ...] = ()
    demands: tuple[Demand, ...] = ()
    workers: tuple[WorkerReport, ...] = ()
    drained: frozenset[str] = field(default_factory=frozenset)


@final
@dataclass(frozen=True, slots=True)
class PlanDecision:
    """The plan to put in force.

    :param changed: whether it differs from the previous plan in more than its
        sequence and time; an unchanged plan need not be written.
    :param reasons: whole sentences, the most important first.
    :param events: events to emit with the decision.
    """

    plan: Plan
    changed: bool
    reasons: tuple[str, ...] = ()
    events: tuple[Event, ...] = ()


class MakePlan(Protocol):
    """A steering policy, registered by its name in the document."""

    def __call__(
        self, view: SteeringView, previous: Plan | None, now: datetime
    ) -> PlanDecision:
        """Make the next plan.

        :param previous: the plan in force, also one of another holder.
        :param now: wall clock time of the holder.
        """
        ...
