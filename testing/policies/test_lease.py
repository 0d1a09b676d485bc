"""Tests of lease decisions, with a state machine of several candidates."""

from __future__ import annotations

from datetime import timedelta

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import invariant
from hypothesis.stateful import rule

from sycamorenotch_kernel import AttemptId
from sycamorenotch_kernel import InstanceId
from sycamorenotch_kernel import InstanceState
from sycamorenotch_kernel import ListedInstance
from sycamorenotch_kernel import Version
from sycamorenotch_policies import Lease
from sycamorenotch_policies import LeaseFailed
from sycamorenotch_policies import LeaseFound
from sycamorenotch_policies import LeaseMissing
from sycamorenotch_policies import LeaseResult
from sycamorenotch_policies import LeaseWritten
from sycamorenotch_policies import ReadLease
from sycamorenotch_policies import WriteLease
from sycamorenotch_policies import lease_candidates

DURATION = timedelta(seconds=6)
SECOND = timedelta(seconds=1)


class FakeStore:
    """In-memory store of one lease with conditional writes."""

    def __init__(self) -> None:
        self.current: LeaseFound | None = None
        self.version = 0

    def perform(self, command: ReadLease | WriteLease) -> LeaseResult:
        if isinstance(command, ReadLease):
            return self.current or LeaseMissing()
        expected = None if self.current is None else self.current.version
        if command.expected != expected:
            return self.current or LeaseMissing()
        self.version += 1
        self.current = LeaseFound(command.record, Version(self.version))
        return LeaseWritten(Version(self.version))


class Candidate:
    """An instance with its own clock."""

    def __init__(self, name: str, store: FakeStore) -> None:
        self.lease = Lease(InstanceId(name), DURATION)
        self.store = store
        self.now = timedelta()
        self.steps = 0
        self.sent: ReadLease | WriteLease | None = None

    @property
    def is_held(self) -> bool:
        return self.lease.is_held(self.now)

    def send(self) -> ReadLease | WriteLease:
        self.steps += 1
        attempt = AttemptId(f"a-{self.steps}")
        return self.lease.step(self.now, attempt, candidate=True)

    def step(self) -> None:
        self.lease.apply_result(self.store.perform(self.send()), self.now)


def pair() -> tuple[Candidate, Candidate]:
    store = FakeStore()
    return Candidate("first", store), Candidate("second", store)


def pass_time(*candidates: Candidate, seconds: int) -> None:
    for _ in range(seconds):
        for candidate in candidates:
            candidate.now += SECOND
            candidate.step()


def test_one_candidate_holds_lease_when_two_start_together() -> None:
    first, second = pair()
    pass_time(first, second, seconds=20)
    assert (first.is_held, second.is_held) == (True, False)
    assert first.lease.term == 1


def test_observer_acquires_lease_when_duration_passed_by_its_clock() -> None:
    first, second = pair()
    pass_time(first, second, seconds=5)
    pass_time(second, seconds=5)
    assert not second.is_held
    pass_time(second, seconds=2)
    assert second.is_held
    assert second.lease.term == 2


def test_lease_is_not_held_when_paused_holder_resumes() -> None:
    first, second = pair()
    pass_time(first, seconds=3)
    expected = first.store.version
    pass_time(second, seconds=10)
    first.now += timedelta(seconds=10)
    assert not first.is_held
    first.step()
    assert first.lease.holder == "second"
    assert second.store.version > expected


def test_write_is_recognised_when_its_answer_was_lost() -> None:
    first, _ = pair()
    first.step()
    first.store.perform(first.send())
    first.lease.apply_result(LeaseFailed("lost"), first.now)
    assert not first.is_held
    first.step()
    assert first.is_held


def test_lease_is_not_extended_when_renewal_was_lost() -> None:
    first, _ = pair()
    pass_time(first, seconds=3)
    for _ in range(5):
        first.now += SECOND
        first.send()
        first.lease.apply_result(LeaseFailed("down"), first.now)
    assert not first.is_held
    first.step()
    assert not first.is_held
    first.step()
    assert first.is_held
    assert first.lease.term == 1


def test_observer_waits_whole_duration_when_store_was_unavailable() -> None:
    first, second = pair()
    pass_time(first, second, seconds=3)
    second.now += timedelta(hours=3)
    second.lease.apply_result(LeaseFailed("down"), second.now)
    second.step()
    assert not second.lease.is_lapsed(second.now)


def test_lease_is_acquired_at_once_when_holder_releases_it() -> None:
    first, second = pair()
    pass_time(first, second, seconds=3)
    released = first.lease.release(first.now, AttemptId("a-last"))
    assert released is not None
    first.lease.apply_result(first.store.perform(released), first.now)
    assert not first.is_held
    second.step()
    second.step()
    assert second.is_held


def test_lease_is_not_held_when_instance_restarted() -> None:
    first, _ = pair()
    pass_time(first, seconds=3)
    again = Candidate("first", first.store)
    again.step()
    again.step()
    assert not again.is_held


def test_candidates_are_few_and_live() -> None:
    instances = [
        ListedInstance(
            InstanceId(f"i-{number}"),
            "",
            "",
            "",
            "",
            InstanceState.LEAVING if number % 2 else InstanceState.LIVE,
        )
        for number in range(100)
    ]
    chosen = lease_candidates("plan", instances)
    assert len(chosen) == 3
    assert chosen == lease_candidates("plan", reversed(instances))
    assert all(int(name.removeprefix("i-")) % 2 == 0 for name in chosen)


class LeaseMachine(RuleBasedStateMachine):
    """Overlapping, lost and delayed store calls of several candidates."""

    def __init__(self) -> None:
        super().__init__()
        self.store = FakeStore()
        names = ("first", "second", "third")
        self.candidates = [Candidate(name, self.store) for name in names]
        self.late: list[WriteLease] = []

    @rule(index=st.integers(0, 2))
    def send(self, index: int) -> None:
        candidate = self.candidates[index]
        if candidate.sent is None:
            candidate.sent = candidate.send()

    @rule(index=st.integers(0, 2), answered=st.booleans(), performed=st.booleans())
    def receive(self, index: int, answered: bool, performed: bool) -> None:
        candidate = self.candidates[index]
        sent, candidate.sent = candidate.sent, None
        if sent is None:
            return
        if answered or performed:
            answer = self.store.perform(sent)
        elif isinstance(sent, WriteLease):
            self.late.append(sent)
        candidate.lease.apply_result(
            answer if answered else LeaseFailed("lost"), candidate.now
        )

    @rule()
    def late_write_arrives(self) -> None:
        if self.late:
            self.store.perform(self.late.pop())

    @rule(milliseconds=st.integers(100, 7000))
    def wait(self, milliseconds: int) -> None:
        # The clocks run at different rates.
        for candidate, rate in zip(self.candidates, (0.95, 1.0, 1.05), strict=True):
            candidate.now += timedelta(milliseconds=milliseconds * rate)

    @invariant()
    def at_most_one_holds(self) -> None:
        assert sum(candidate.is_held for candidate in self.candidates) <= 1

    @invariant()
    def holder_is_the_stored_one(self) -> None:
        for candidate in self.candidates:
            if candidate.is_held:
                assert self.store.current is not None
                assert self.store.current.record.term == candidate.lease.term


LeaseMachine.TestCase.settings = settings(max_examples=150, stateful_step_count=40)
TestLeaseMachine = LeaseMachine.TestCase
