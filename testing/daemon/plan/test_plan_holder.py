"""Tests of the plan holder during pauses, store outages and lease transfers."""

from __future__ import annotations

from dataclasses import replace
from datetime import timedelta
from typing import Any

import msgpack
import pytest

from sycamorenotch_daemon import _plan_holder as plan_holder
from sycamorenotch_daemon._plan_codec import PLAN_KIND
from sycamorenotch_daemon._plan_codec import StoredPlan
from sycamorenotch_daemon._plan_codec import decode_plan
from sycamorenotch_daemon._plan_codec import encode_plan
from sycamorenotch_kernel import Shift
from sycamorenotch_kernel import ShiftCause


def stored_plan(fleet: Any) -> StoredPlan:
    found = fleet.table.get(PLAN_KIND, "production").ok
    stored: StoredPlan = decode_plan(found.value).ok
    return stored


def test_every_instance_has_the_plan_that_one_holder_wrote(fleet: Any) -> None:
    fleet.pass_time(15)
    plans = {instance.watch.plan() for instance in fleet.instances}
    assert plans == {stored_plan(fleet).plan}
    assert stored_plan(fleet).plan.holder == fleet.holder().node.settings.instance
    assert stored_plan(fleet).term == 1


def test_plan_is_made_at_once_when_the_configuration_changes(fleet: Any) -> None:
    fleet.pass_time(15)
    fleet.holder().configure(2)
    fleet.pass_time(0.25)
    assert stored_plan(fleet).plan.generation == 2


def test_paused_holder_cannot_write_when_it_resumes(fleet: Any) -> None:
    fleet.pass_time(15)
    paused = fleet.holder()
    before = stored_plan(fleet)
    fleet.pass_time(20, paused=paused)
    assert stored_plan(fleet).term == 2
    successor_plan = fleet.table.get(PLAN_KIND, "production").ok
    # Its clock has not advanced, as if the process had been suspended.
    paused.configure(2)
    paused.clock.advance(0)
    assert fleet.table.get(PLAN_KIND, "production").ok == successor_plan
    assert paused.events("plan.not-written")
    paused.clock.advance(20)
    assert not paused.lease.is_held()
    assert before.plan.sequence < stored_plan(fleet).plan.sequence


def test_recorded_shifts_are_kept_when_the_holder_changes(fleet: Any) -> None:
    fleet.pass_time(15)
    holder = fleet.holder()
    stored = fleet.table.get(PLAN_KIND, "production").ok
    before = stored_plan(fleet)
    shift = Shift(
        "balance",
        "viti-west",
        "viti-east",
        0.05,
        holder.node.clock.now() + timedelta(seconds=10),
        ShiftCause.PLANNED,
    )
    plan = replace(before.plan, sequence=before.plan.sequence + 1, shifts=(shift,))
    value = encode_plan(StoredPlan(before.term, plan))
    fleet.table.update(PLAN_KIND, "production", value, stored.version)
    fleet.pass_time(20, paused=holder)
    after = stored_plan(fleet)
    assert after.term == 2
    assert shift in after.plan.shifts


def test_successor_takes_over_at_once_when_the_holder_stops(fleet: Any) -> None:
    fleet.pass_time(15)
    holder = fleet.holder()
    holder.stop()
    assert holder.events("lease.released")
    fleet.pass_time(5, paused=holder)
    assert fleet.holder() is not holder
    assert stored_plan(fleet).term == 2


def test_last_plan_stays_without_busy_retries_when_the_store_is_down_for_hours(
    fleet: Any,
) -> None:
    fleet.pass_time(15)
    plan = fleet.holder().watch.plan()
    fleet.set_store("down")
    calls_before = [sum(i.guard.calls.made.values()) for i in fleet.instances]
    fleet.pass_time(2 * 3600)
    calls_after = [sum(i.guard.calls.made.values()) for i in fleet.instances]
    assert not any(instance.lease.is_held() for instance in fleet.instances)
    assert all(instance.watch.plan() == plan for instance in fleet.instances)
    assert all(
        after - before < 2 * 3600 / 5
        for before, after in zip(calls_before, calls_after, strict=True)
    )
    assert all(len(i.clock.getDelayedCalls()) < 10 for i in fleet.instances)
    assert all(len(i.sink.events) < 1000 for i in fleet.instances)


def test_holder_keeps_the_lease_or_one_successor_takes_it_after_an_outage(
    fleet: Any,
) -> None:
    fleet.pass_time(15)
    fleet.set_store("down")
    fleet.pass_time(600)
    fleet.set_store("none")
    fleet.pass_time(60)
    assert stored_plan(fleet).plan.holder == fleet.holder().node.settings.instance
    assert all(i.watch.plan() == stored_plan(fleet).plan for i in fleet.instances)


@pytest.mark.parametrize("mode", ["lose_answers", "down"])
def test_plan_sequence_never_decreases_when_store_answers_fail_repeatedly(
    fleet: Any, mode: str
) -> None:
    sequences = [0]
    for round_ in range(30):
        fleet.instances[round_ % 3].memory.fault.set(mode, 0, 2)
        for instance in fleet.instances:
            instance.configure(2 + round_)
        fleet.pass_time(7)
        if fleet.table.get(PLAN_KIND, "production").is_ok():
            sequences.append(stored_plan(fleet).plan.sequence)
    assert sequences == sorted(sequences)
    assert sequences[-1] > 10


def test_confirmation_is_given_only_for_the_plan_in_force_by_the_holder(
    fleet: Any,
) -> None:
    fleet.pass_time(15)
    sequence = stored_plan(fleet).plan.sequence
    holder = fleet.holder().holder
    assert holder.try_confirm("second", sequence)
    assert not holder.try_confirm("second", sequence - 1)
    assert not any(i.holder.try_confirm("x", sequence) for i in fleet.followers())


@pytest.mark.parametrize(
    "damage", [{"format": 2}, {"term": 0}, {"plan": None}, {"plan": {}}]
)
def test_plan_in_force_stays_when_the_stored_one_is_not_valid(
    fleet: Any, damage: dict[str, Any]
) -> None:
    fleet.pass_time(15)
    stored = fleet.table.get(PLAN_KIND, "production").ok
    value = msgpack.packb(msgpack.unpackb(stored.value) | damage)
    assert decode_plan(value).is_error()
    plan = fleet.instances[0].watch.plan()
    fleet.table.update(PLAN_KIND, "production", value, stored.version)
    fleet.pass_time(0.5)
    assert fleet.instances[0].watch.plan() == plan
    assert fleet.instances[0].events("plan.invalid")


def test_plan_is_not_written_when_it_breaks_an_invariant(
    fleet: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    fleet.pass_time(15)
    before = fleet.table.get(PLAN_KIND, "production").ok
    real = plan_holder.make_plan

    def overcommit(view: Any, previous: Any, now: Any) -> Any:
        decision = real(view, previous, now)
        grants = tuple(replace(g, floor=g.floor + 1000) for g in decision.plan.grants)
        return replace(decision, plan=replace(decision.plan, grants=grants))

    monkeypatch.setattr(plan_holder, "make_plan", overcommit)
    fleet.holder().configure(2)
    fleet.pass_time(1)
    assert fleet.holder().events("invariant.violated")
    assert fleet.table.get(PLAN_KIND, "production").ok == before


def test_persistent_condition_is_reported_once_when_plans_are_made_again(
    fleet: Any,
) -> None:
    fleet.pass_time(60)
    reported = fleet.holder().events("steering.measurement-missing")
    assert reported
    assert len(set(reported)) == len(reported)


def test_plan_is_written_again_when_its_object_was_removed(fleet: Any) -> None:
    fleet.pass_time(15)
    before = stored_plan(fleet).plan
    stored = fleet.table.get(PLAN_KIND, "production").ok
    fleet.table.delete(PLAN_KIND, "production", stored.version)
    fleet.holder().configure(2)
    fleet.pass_time(5)
    assert stored_plan(fleet).plan.sequence > before.sequence
    assert all(i.watch.plan() == stored_plan(fleet).plan for i in fleet.instances)
