"""Tests of grants, with a state machine of paused, partitioned and dead instances."""

from __future__ import annotations

from datetime import UTC
from datetime import datetime
from datetime import timedelta
from typing import final

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import initialize
from hypothesis.stateful import invariant
from hypothesis.stateful import rule

from sycamorenotch_kernel import InstanceId
from sycamorenotch_kernel import Plan
from sycamorenotch_policies import GONE_GRACE_PERIOD
from sycamorenotch_policies import LAPSE_MARGIN
from sycamorenotch_policies import LOAN_LIFETIME
from sycamorenotch_policies import HeldGrants
from sycamorenotch_policies import InstanceContact
from sycamorenotch_policies import apportion
from sycamorenotch_policies import reallocate_grants

POOL = ("viti-west", "balance")
CAPACITY = 24
NAMES = tuple(InstanceId(f"entry-{number}") for number in range(3))
ORIGIN = datetime(2026, 1, 1, tzinfo=UTC)

names = st.sampled_from(NAMES)
weights = st.fixed_dictionaries(
    {name: st.sampled_from([0.0, 1.0, 5.0]) for name in NAMES}
)


def next_plan(
    previous: Plan | None,
    demand_weights: dict[InstanceId, float],
    contacts: tuple[InstanceContact, ...],
    capacity: int = CAPACITY,
) -> Plan:
    decided = reallocate_grants(
        {POOL: capacity}, {POOL: demand_weights}, contacts, previous
    )
    return Plan(
        1,
        decided.sequence,
        ORIGIN,
        NAMES[0],
        (),
        decided.grants,
        decided.outstanding,
    )


@final
class GrantMachine(RuleBasedStateMachine):
    """A lease holder that may be replaced, and instances that miss messages."""

    @initialize()
    def begin(self) -> None:
        """Start with a plan that every instance has confirmed."""
        self.now = timedelta()
        self.plan: Plan | None = None
        self.held_grants = {name: HeldGrants(name) for name in NAMES}
        self.alive = set(NAMES)
        self.gone_since: dict[InstanceId, timedelta] = {}
        self.confirmed_at = dict.fromkeys(NAMES, timedelta())
        self.confirmed_sequence = dict.fromkeys(NAMES, -1)
        self.old_plans: list[Plan] = []
        self.write_plan(dict.fromkeys(NAMES, 1.0))
        for name in NAMES:
            self.renew(name)

    @rule(seconds=st.integers(1, 10))
    def pass_time(self, seconds: int) -> None:
        """Advance every clock, also that of a paused instance."""
        self.now += timedelta(seconds=seconds)

    @rule(demand_weights=weights)
    def write_plan(self, demand_weights: dict[InstanceId, float]) -> None:
        """Write the next plan from what the holder knows."""
        contacts = tuple(self._contact(name) for name in NAMES)
        self.plan = next_plan(self.plan, demand_weights, contacts)
        self.old_plans.append(self.plan)

    @rule(name=names, back=st.integers(0, 5))
    def deliver_plan(self, name: InstanceId, back: int) -> None:
        """Deliver a plan, possibly a delayed older one."""
        if self.old_plans and name in self.alive:
            self.held_grants[name].accept(
                self.old_plans[max(-1 - back, -len(self.old_plans))]
            )

    @rule(name=names, delay=st.integers(0, 8))
    def confirm(self, name: InstanceId, delay: int) -> None:
        """Request a confirmation from the holder and receive it after a delay."""
        if self.plan is None or name not in self.alive:
            return
        held = self.held_grants[name]
        self.confirmed_sequence[name] = max(
            self.confirmed_sequence[name], held.sequence
        )
        self.confirmed_at[name] = self.now
        requested_at = self.now - timedelta(seconds=delay)
        held.confirm(self.plan.sequence, requested_at)

    @rule(name=names)
    def renew(self, name: InstanceId) -> None:
        """Deliver the newest plan to an instance and confirm it at once."""
        self.deliver_plan(name, 0)
        self.confirm(name, 0)

    @rule()
    def replace_holder(self) -> None:
        """Replace the holder by one that knows the plan but no confirmations."""
        self.confirmed_at = dict.fromkeys(NAMES, self.now)
        self.confirmed_sequence = dict.fromkeys(NAMES, -1)

    @rule(name=names)
    def restart(self, name: InstanceId) -> None:
        """Restart the process of an instance, which loses its state."""
        if name in self.alive:
            self.held_grants[name] = HeldGrants(name)

    @rule(name=names)
    def kill(self, name: InstanceId) -> None:
        """End an instance; the platform's list drops it from now on."""
        if len(self.alive) > 1 and name in self.alive:
            self.alive.discard(name)
            self.gone_since[name] = self.now

    @invariant()
    def grants_fit(self) -> None:
        """Usable slots of all instances fit into the capacity (I2)."""
        used = sum(self.held_grants[n].slots(*POOL, self.now) for n in self.alive)
        assert used <= CAPACITY

    def _contact(self, name: InstanceId) -> InstanceContact:
        since = self.gone_since.get(name)
        return InstanceContact(
            name,
            self.confirmed_sequence[name],
            self.now - self.confirmed_at[name],
            None if since is None else self.now - since,
        )


TestGrantMachine = GrantMachine.TestCase
TestGrantMachine.settings = settings(max_examples=150, stateful_step_count=40)


def contact(
    name: InstanceId, sequence: int, silence: int = 0, gone: int | None = None
) -> InstanceContact:
    since = None if gone is None else timedelta(seconds=gone)
    return InstanceContact(name, sequence, timedelta(seconds=silence), since)


def granted(plan: Plan, name: InstanceId) -> int:
    return sum(g.floor + g.loan for g in plan.grants if g.instance == name)


@pytest.fixture
def first() -> Plan:
    return next_plan(None, {NAMES[0]: 1.0, NAMES[1]: 1.0}, ())


def test_whole_capacity_is_split_when_no_grant_exists(first: Plan) -> None:
    assert [granted(first, name) for name in NAMES[:2]] == [12, 12]


def test_grant_grows_only_when_reduced_instance_confirmed(first: Plan) -> None:
    demand_weights = {NAMES[0]: 3.0, NAMES[1]: 1.0}
    unconfirmed = (contact(NAMES[0], 1), contact(NAMES[1], 1))
    second = next_plan(first, demand_weights, unconfirmed)
    assert (granted(second, NAMES[0]), granted(second, NAMES[1])) == (12, 6)
    confirmed = (contact(NAMES[0], 2), contact(NAMES[1], 2))
    third = next_plan(second, demand_weights, confirmed)
    assert (granted(third, NAMES[0]), granted(third, NAMES[1])) == (18, 6)


def test_loan_but_not_floor_is_reallocated_when_instance_is_silent(first: Plan) -> None:
    silence = (LOAN_LIFETIME + LAPSE_MARGIN).total_seconds()
    contacts = (contact(NAMES[0], 1), contact(NAMES[1], 1, int(silence)))
    second = next_plan(first, {NAMES[0]: 1.0, NAMES[1]: 1.0}, contacts)
    assert granted(second, NAMES[1]) == 6
    assert granted(second, NAMES[0]) == 18


def test_floor_is_reallocated_when_gone_instance_exceeds_grace_period(
    first: Plan,
) -> None:
    grace = int(GONE_GRACE_PERIOD.total_seconds())
    early = (contact(NAMES[0], 1), contact(NAMES[1], 1, grace, grace - 1))
    second = next_plan(first, {NAMES[0]: 1.0}, early)
    assert granted(second, NAMES[0]) == 18
    late = (contact(NAMES[0], 2), contact(NAMES[1], 1, grace, grace))
    third = next_plan(second, {NAMES[0]: 1.0}, late)
    assert granted(third, NAMES[0]) == CAPACITY


def test_loan_lapses_when_its_lifetime_since_request_has_passed(first: Plan) -> None:
    held = HeldGrants(NAMES[0])
    held.accept(first)
    held.confirm(first.sequence, timedelta())
    just_before = LOAN_LIFETIME - timedelta(milliseconds=1)
    assert held.slots(*POOL, just_before) == 12
    assert held.slots(*POOL, LOAN_LIFETIME) == 6


def test_nothing_is_usable_when_holder_never_confirmed(first: Plan) -> None:
    held = HeldGrants(NAMES[0])
    held.accept(first)
    assert held.slots(*POOL, timedelta()) == 0


def test_grants_stay_when_demand_weights_change_little(first: Plan) -> None:
    contacts = (contact(NAMES[0], 1), contact(NAMES[1], 1))
    second = next_plan(first, {NAMES[0]: 1.05, NAMES[1]: 1.0}, contacts)
    assert second.grants == first.grants


def test_apportion_gives_every_slot_when_weights_do_not_divide() -> None:
    parts = apportion(10, dict.fromkeys(NAMES[:3], 1.0))
    assert sorted(parts.values()) == [3, 3, 4]


def test_loan_is_kept_when_it_may_not_have_lapsed_yet(first: Plan) -> None:
    silence = int(LOAN_LIFETIME.total_seconds())
    contacts = (contact(NAMES[0], 1), contact(NAMES[1], 1, silence))
    second = next_plan(first, {NAMES[0]: 1.0, NAMES[1]: 1.0}, contacts)
    assert granted(second, NAMES[0]) == 12


def test_loan_is_not_renewed_when_confirmation_is_for_another_plan(
    first: Plan,
) -> None:
    held = HeldGrants(NAMES[0])
    held.accept(first)
    assert held.confirm(first.sequence, timedelta())
    assert not held.confirm(first.sequence + 1, LOAN_LIFETIME)
    assert held.slots(*POOL, LOAN_LIFETIME) == 6
