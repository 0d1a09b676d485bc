"""Messages between the lease holder and the other instances."""

from __future__ import annotations

from dataclasses import dataclass
from typing import final

from sycamorenotch_kernel import Message
from sycamorenotch_kernel import Rank
from sycamorenotch_kernel import message


@final
@dataclass(frozen=True, slots=True)
class DemandReport:
    """Demand of one service, client region and rank at the sender.

    :param source: region of the clients.
    :param rate: requests per 1,000 seconds, including refused ones.
    """

    service: str
    source: str
    rank: Rank
    rate: int


@final
@dataclass(frozen=True, slots=True)
class WorkerObservation:
    """State of a worker in the sender's region, as the sender observes it.

    :param load: share of the worker's slots in use by its own report, in
        thousandths; -1 if it has not reported.
    :param age: age of that report, in milliseconds.
    :param failures: share of the sender's requests that failed, in thousandths.
    """

    worker: str
    usable: bool
    load: int
    age: int
    failures: int


@message(30, "plan.question")
@final
@dataclass(frozen=True, slots=True)
class PlanQuestion(Message):
    """Asks the lease holder to confirm the sender's plan.

    :param question: number of the question, returned in the confirmation.
    :param sequence: plan in force at the sender.
    :param demands: demand at the sender; a missing entry means no requests.
    :param workers: observations of the workers in the sender's region.
    """

    question: int
    sequence: int
    demands: tuple[DemandReport, ...] = ()
    workers: tuple[WorkerObservation, ...] = ()


@message(31, "plan.confirmation")
@final
@dataclass(frozen=True, slots=True)
class PlanConfirmation(Message):
    """Confirms that the plan of a question is the one in force."""

    question: int
    sequence: int
