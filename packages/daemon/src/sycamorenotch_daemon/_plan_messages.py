"""Messages between the holder of the lease and the other instances."""

from __future__ import annotations

from dataclasses import dataclass
from typing import final

from sycamorenotch_kernel import Message
from sycamorenotch_kernel import Rank
from sycamorenotch_kernel import message


@final
@dataclass(frozen=True, slots=True)
class DemandReport:
    """Requests of one kind that reached the sender.

    :param source: region of the clients.
    :param rate: requests for each 1,000 seconds, refused ones included.
    """

    service: str
    source: str
    rank: Rank
    rate: int


@final
@dataclass(frozen=True, slots=True)
class WorkerNews:
    """What the sender knows of an upstream worker near it.

    :param load: thousandths of its slots in use by its own report; -1 if it
        has not reported.
    :param age: age of that report, in milliseconds.
    :param failures: thousandths of the sender's requests that failed.
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
    """The sender asks whether its plan is the one in force.

    :param question: number of the question, returned with the answer.
    :param sequence: plan in force at the sender.
    :param demands: requests that reached it; what is left out did not occur.
    :param workers: news of the workers in its region.
    """

    question: int
    sequence: int
    demands: tuple[DemandReport, ...] = ()
    workers: tuple[WorkerNews, ...] = ()


@message(31, "plan.confirmation")
@final
@dataclass(frozen=True, slots=True)
class PlanConfirmation(Message):
    """The holder confirms that the plan of a question is in force."""

    question: int
    sequence: int
