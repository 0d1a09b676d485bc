"""Inputs and results of steering policies."""

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
    """Request rate that clients of one region offer, summed over the instances.

    :param source: region of the clients.
    :param rate: requests per second, refused ones included.
    :param age: time since the oldest measurement in the sum.
    :param window: time over which the rate was averaged. A shorter window has
        more noise, so that less of the shift cap is used.
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
    """Health and load of one upstream worker.

    :param usable: whether new requests may be sent to it.
    :param load: reported load as a share of its slots; None if it reports none.
    :param age: time since the report was made.
    :param failures: failed share of the instances' own requests to it, from 0 to 1.
    :param latency: request latency that the instances measured.
    :param in_service: time since its first observed answer, for the warm-up.
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
    """Plan confirmation state of an instance, as the lease holder knows it.

    :param sequence: highest plan sequence that the instance confirmed as in force,
        with its requests in flight within the grants; -1 if none.
    :param silence: time since the holder last confirmed a loan to it, or since
        the holder acquired the lease if it has confirmed none.
    :param gone: time since the platform's list dropped the instance; None while
        it is listed.
    """

    instance: InstanceId
    sequence: int
    silence: timedelta
    gone: timedelta | None = None


@final
@dataclass(frozen=True, slots=True)
class SteeringView:
    """Input of a steering policy.

    :param generation: generation of the environment document.
    :param holder: lease holder, which makes the plan.
    :param instances: the platform's list, this instance included.
    :param drained: regions that an operator drains.
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
    """Result of a steering policy.

    :param plan: the plan to put in force.
    :param changed: whether it differs from the previous plan in more than its
        sequence and time; an unchanged plan need not be written.
    :param reasons: whole sentences for operators, the most important first.
    :param events: events to emit with the decision.
    """

    plan: Plan
    changed: bool
    reasons: tuple[str, ...] = ()
    events: tuple[Event, ...] = ()


class MakePlan(Protocol):
    """Signature of a steering policy, registered under its name in the document."""

    def __call__(
        self, view: SteeringView, previous: Plan | None, now: datetime
    ) -> PlanDecision:
        """Make the next plan.

        :param previous: the plan in force; another lease holder may have made it.
        :param now: wall clock time of the lease holder.
        """
        ...
