"""Tests of ranked admission under overload and with deadlines."""

from __future__ import annotations

from collections import Counter
from datetime import timedelta
from itertools import count

import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from sycamorenotch_kernel import ErrorKind
from sycamorenotch_kernel import EventList
from sycamorenotch_kernel import InvariantMonitor
from sycamorenotch_kernel import Ran
from sycamorenotch_kernel import Rank
from sycamorenotch_kernel import RankPolicy
from sycamorenotch_policies import AdmissionSetup
from sycamorenotch_policies import Admitted
from sycamorenotch_policies import Outcome
from sycamorenotch_policies import Queued
from sycamorenotch_policies import RankedAdmission
from sycamorenotch_policies import Refused
from sycamorenotch_policies import Ticket

SERVICE_TIME = timedelta(milliseconds=10)
TICKET_IDS = count()


def ticket(rank: Rank, now: timedelta, seconds: float = 1.0) -> Ticket:
    return Ticket(str(next(TICKET_IDS)), rank, now + timedelta(seconds=seconds))


def run_flood(
    admission: RankedAdmission, arrivals: dict[Rank, int], steps: int
) -> Counter[Rank]:
    """Offer the arrivals in each step; every admitted request takes one step."""
    now = timedelta()
    running: list[Ticket] = []
    started: Counter[Rank] = Counter()
    for _ in range(steps):
        now += SERVICE_TIME
        finished, running = running, []
        decisions = [
            decision
            for done in finished
            for decision in admission.release(done, SERVICE_TIME, Outcome.ANSWERED, now)
        ]
        decisions += [
            admission.offer(ticket(rank, now), now)
            for rank, number in arrivals.items()
            for _ in range(number)
        ]
        running = [d.ticket for d in decisions if isinstance(d, Admitted)]
        started.update(item.rank for item in running)
    return started


@pytest.mark.parametrize("slots", [1, 2, 4, 10, 64])
@pytest.mark.parametrize("flooding", list(Rank))
def test_every_rank_keeps_its_floor_when_one_rank_floods(
    admission_setup, slots: int, flooding: Rank
) -> None:
    setup = admission_setup(slots)
    arrivals = dict.fromkeys(Rank, slots) | {flooding: 4 * slots}
    steps = 200 + 800 // slots
    started = run_flood(RankedAdmission(setup), arrivals, steps)
    total = sum(started.values())
    assert total >= 0.98 * slots * steps
    shares = {rank: started[rank] / total for rank in Rank}
    floors = {rank: policy.floor for rank, policy in setup.ranks.items()}
    # The first requests are admitted while no rank is queued yet.
    assert all(shares[rank] >= 0.98 * floors[rank] for rank in Rank)
    assert shares[Rank.URGENT] >= 0.55


def test_urgent_rank_is_fully_served_when_deferrable_rank_floods(
    admission_setup,
) -> None:
    admission = RankedAdmission(admission_setup(10))
    started = run_flood(admission, {Rank.URGENT: 5, Rank.DEFERRABLE: 100}, 500)
    assert started[Rank.URGENT] >= 5 * 498


def test_all_slots_are_used_when_only_one_rank_has_requests(admission_setup) -> None:
    started = run_flood(RankedAdmission(admission_setup(8)), {Rank.DEFERRABLE: 8}, 100)
    assert started[Rank.DEFERRABLE] == 800


def test_request_is_refused_as_not_run_when_the_wait_exceeds_its_deadline(
    admission_setup,
) -> None:
    admission, now = RankedAdmission(admission_setup(1)), timedelta()
    assert isinstance(admission.offer(ticket(Rank.STANDARD, now), now), Admitted)
    decision = admission.offer(ticket(Rank.STANDARD, now, 0.015), now)
    assert isinstance(decision, Refused)
    assert decision.failure.kind is ErrorKind.DEADLINE_HOPELESS
    assert decision.failure.stated_ran is Ran.NO
    assert decision.failure.retry_after is not None


def test_queue_stays_bounded_when_a_rank_floods(admission_setup) -> None:
    admission, now = RankedAdmission(admission_setup(1)), timedelta()
    decisions = [admission.offer(ticket(Rank.URGENT, now), now) for _ in range(5000)]
    kinds = Counter(type(decision) for decision in decisions)
    assert kinds[Queued] < 100
    assert admission.queued == kinds[Queued]


def test_expired_request_at_queue_head_is_refused_when_slot_is_released_late(
    admission_setup,
) -> None:
    admission, now = RankedAdmission(admission_setup(1)), timedelta()
    first = ticket(Rank.STANDARD, now)
    admission.offer(first, now)
    old = ticket(Rank.STANDARD, now, 0.1)
    new = ticket(Rank.STANDARD, now, 0.5)
    assert all(isinstance(admission.offer(t, now), Queued) for t in (old, new))
    later = timedelta(seconds=0.2)
    refused, admitted = admission.release(first, SERVICE_TIME, Outcome.ANSWERED, later)
    assert isinstance(refused, Refused) and refused.ticket == old
    assert admitted == Admitted(new)


def test_expiry_refuses_request_behind_one_with_long_deadline(admission_setup) -> None:
    admission, now = RankedAdmission(admission_setup(1)), timedelta()
    admission.offer(ticket(Rank.STANDARD, now), now)
    long_deadline, short_deadline = (
        ticket(Rank.STANDARD, now, 9),
        ticket(Rank.STANDARD, now, 0.1),
    )
    admission.offer(long_deadline, now)
    admission.offer(short_deadline, now)
    (decision,) = admission.expire(timedelta(seconds=0.2))
    assert isinstance(decision, Refused) and decision.ticket == short_deadline


def test_cancelled_request_leaves_the_queue(admission_setup) -> None:
    admission, now = RankedAdmission(admission_setup(1)), timedelta()
    first, cancelled, last = (ticket(Rank.STANDARD, now) for _ in range(3))
    for item in (first, cancelled, last):
        admission.offer(item, now)
    admission.cancel(cancelled)
    assert admission.release(first, SERVICE_TIME, Outcome.CANCELLED, now) == (
        Admitted(last),
    )


def test_queued_requests_are_admitted_when_the_grant_grows(admission_setup) -> None:
    admission, now = RankedAdmission(admission_setup(0)), timedelta()
    assert isinstance(admission.offer(ticket(Rank.URGENT, now), now), Refused)
    admission.resize(1, now)
    admission.offer(ticket(Rank.URGENT, now), now)
    waiting = ticket(Rank.URGENT, now)
    admission.offer(waiting, now)
    assert admission.resize(2, now) == (Admitted(waiting),)


def test_limit_falls_when_latency_grows_and_recovers(admission_setup) -> None:
    admission, now = RankedAdmission(admission_setup(16)), timedelta()

    def serve(latency: timedelta, number: int) -> None:
        for _ in range(number):
            item = ticket(Rank.URGENT, now)
            admission.offer(item, now)
            admission.release(item, latency, Outcome.ANSWERED, now)

    serve(timedelta(milliseconds=80), 128)
    assert 4 <= admission.limit < 16
    serve(timedelta(milliseconds=10), 1024)
    assert admission.limit == 16


@settings(max_examples=50)
@given(
    slots=st.integers(1, 6),
    arrivals=st.lists(
        st.tuples(st.sampled_from(Rank), st.integers(0, 30)), max_size=120
    ),
)
def test_running_requests_stay_within_the_grant(
    slots: int, arrivals: list[tuple[Rank, int]]
) -> None:
    ranks = {r: RankPolicy(r, 1.0, 0.3, timedelta(seconds=1)) for r in Rank}
    monitor = InvariantMonitor(EventList(), strict=True)
    setup = AdmissionSetup(slots, ranks, SERVICE_TIME, monitor)
    admission, now, running = RankedAdmission(setup), timedelta(), []
    for rank, milliseconds in arrivals:
        now += timedelta(milliseconds=milliseconds)
        decisions = [admission.offer(ticket(rank, now, 0.05), now)]
        if running and milliseconds % 2:
            done = running.pop(0)
            decisions += admission.release(done, SERVICE_TIME, Outcome.ANSWERED, now)
        decisions += admission.expire(now)
        running += [d.ticket for d in decisions if isinstance(d, Admitted)]
        assert len(running) == sum(admission.running.values()) <= slots
