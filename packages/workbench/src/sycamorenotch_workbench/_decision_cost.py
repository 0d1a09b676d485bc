"""Measures the time of one admission and one worker choice by number of workers."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
from datetime import timedelta
from itertools import count
from random import Random
from time import perf_counter_ns

from sycamorenotch_kernel import Bounds
from sycamorenotch_kernel import EventList
from sycamorenotch_kernel import InvariantMonitor
from sycamorenotch_kernel import Rank
from sycamorenotch_kernel import RankPolicy
from sycamorenotch_kernel import Worker
from sycamorenotch_policies import AdmissionSetup
from sycamorenotch_policies import Admitted
from sycamorenotch_policies import ChoiceSetup
from sycamorenotch_policies import Outcome
from sycamorenotch_policies import RankedAdmission
from sycamorenotch_policies import Ticket
from sycamorenotch_policies import TwoChoices

SIZES = (10, 100, 1000)
DECISIONS = 20_000
ROUNDS = 5
SEED = 1
SLOTS = 4
# High enough that random draws hit workers without a free slot.
BUSY_SHARE = 0.7
NANOSECONDS_PER_MICROSECOND = 1000

SERVICE_TIME = timedelta(milliseconds=10)
NOW = timedelta(seconds=100)
BOUNDS = Bounds(
    answer_lifetime=timedelta(seconds=5),
    leaving=timedelta(seconds=3),
    drain=timedelta(seconds=30),
    claim_lifetime=timedelta(hours=24),
    stale_after=timedelta(seconds=15),
    cold_start=timedelta(seconds=30),
)


def measure(decide: Callable[[], None]) -> float:
    """Return the mean time of a decision in the fastest round, in microseconds."""
    return min(_rounds(decide)) / DECISIONS / NANOSECONDS_PER_MICROSECOND


def _rounds(decide: Callable[[], None]) -> Iterator[int]:
    for _ in range(ROUNDS):
        started = perf_counter_ns()
        for _ in range(DECISIONS):
            decide()
        yield perf_counter_ns() - started


def _monitor() -> InvariantMonitor:
    return InvariantMonitor(EventList(), strict=True)


def make_choice(workers: int) -> Callable[[], None]:
    """Return a function that chooses a worker and finishes the request."""
    setup = ChoiceSetup(
        "west", SERVICE_TIME, 1, BOUNDS, Random(SEED), EventList(), _monitor()
    )
    choice = TwoChoices(setup)
    choice.update((_worker(number) for number in range(workers)), NOW)
    for _ in range(int(workers * SLOTS * BUSY_SHARE)):
        choice.choose(NOW)

    def decide() -> None:
        chosen = choice.choose(NOW)
        assert chosen is not None
        choice.finish(chosen.worker.name, SERVICE_TIME, Outcome.ANSWERED, NOW)

    return decide


def _worker(number: int) -> Worker:
    name, cost = f"w{number}", timedelta(milliseconds=1)
    address = f"10.0.{number // 250}.{number % 250}:80"
    return Worker(name, "balance", "west", "a", address, SLOTS, 360, cost)


def make_admission(workers: int) -> Callable[[], None]:
    """Return a function that offers a request to a full service and frees a slot."""
    ranks = {r: RankPolicy(r, 1.0, 0.25, timedelta(seconds=1)) for r in Rank}
    setup = AdmissionSetup(workers * SLOTS, ranks, SERVICE_TIME, _monitor())
    admission, numbers, rank_cycle = RankedAdmission(setup), count(), list(Rank)
    running: list[Ticket] = []

    def offer() -> None:
        number = next(numbers)
        ticket = Ticket(
            str(number), rank_cycle[number % len(rank_cycle)], NOW + BOUNDS.drain
        )
        if isinstance(admission.offer(ticket, NOW), Admitted):
            running.append(ticket)

    for _ in range(workers * SLOTS + SLOTS):
        offer()

    def decide() -> None:
        offer()
        done = running.pop()
        decisions = admission.release(done, SERVICE_TIME, Outcome.ANSWERED, NOW)
        running.extend(d.ticket for d in decisions if isinstance(d, Admitted))

    return decide


def main() -> None:
    """Print one line for each number of workers."""
    print("workers  admission and release (us)  choice and finish (us)")
    for size in SIZES:
        admission, choice = measure(make_admission(size)), measure(make_choice(size))
        print(f"{size:>7}  {admission:>26.1f}  {choice:>22.1f}")


if __name__ == "__main__":
    main()
