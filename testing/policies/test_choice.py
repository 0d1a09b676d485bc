"""Tests of the strategies that choose an upstream worker."""

from __future__ import annotations

from collections import Counter
from datetime import timedelta

import pytest

from sycamorenotch_kernel import InvariantError
from sycamorenotch_kernel import upstream_choices
from sycamorenotch_policies import LoadReport
from sycamorenotch_policies import Outcome
from sycamorenotch_policies import TwoChoices

SERVICE_TIME = timedelta(milliseconds=10)
START = timedelta(seconds=100)


def event_names(events) -> list[str]:
    return [event.name for event in events.events]


@pytest.fixture
def choice(choice_setup, make_workers) -> TwoChoices:
    choice = TwoChoices(choice_setup)
    choice.update(make_workers(8), START)
    return choice


def serve(choice, number: int, now: timedelta = START) -> Counter[str]:
    """Serve requests one at a time and count them by worker."""
    counts: Counter[str] = Counter()
    for _ in range(number):
        chosen = choice.choose(now)
        assert chosen is not None
        counts[chosen.worker.name] += 1
        choice.finish(chosen.worker.name, SERVICE_TIME, Outcome.ANSWERED, now)
    return counts


def fail(choice, name: str, number: int, now: timedelta, cause: str | None = None):
    for _ in range(number):
        choice.table.start(choice.table.states[name], now)
        choice.finish(name, SERVICE_TIME, Outcome.FAILED, now, cause)


def test_load_is_balanced_when_workers_are_equal(choice: TwoChoices) -> None:
    for _ in range(80):
        assert choice.choose(START) is not None
    loads = [state.in_flight for state in choice.table.states.values()]
    assert max(loads) - min(loads) <= 3


def test_slow_worker_gets_fewer_requests(choice: TwoChoices) -> None:
    for _ in range(20):
        choice.table.start(choice.table.states["west-0"], START)
        choice.finish("west-0", SERVICE_TIME * 20, Outcome.ANSWERED, START)
    assert serve(choice, 400)["west-0"] < 15


def test_worker_is_not_chosen_when_it_was_tried(choice: TwoChoices) -> None:
    tried = frozenset(f"west-{index}" for index in range(7))
    assert all(choice.choose(START, tried).worker.name == "west-7" for _ in range(5))
    assert choice.choose(START, tried | {"west-7"}) is None


def test_load_report_loses_weight_with_age(choice: TwoChoices) -> None:
    choice.report(LoadReport("west-0", running=40, slots=4, at=START))
    assert serve(choice, 200)["west-0"] == 0
    assert serve(choice, 400, START + timedelta(seconds=11))["west-0"] > 25


def test_load_report_is_discounted_when_worker_with_free_slots_sheds(
    choice: TwoChoices, sink
) -> None:
    choice.report(LoadReport("west-0", running=0, slots=4, at=START))
    state = choice.table.states["west-0"]
    choice.table.start(state, START)
    choice.finish("west-0", SERVICE_TIME, Outcome.SHED, START)
    assert state.trust == 0.5
    assert event_names(sink) == ["upstream.report-contradicted"]


def test_load_report_is_discounted_when_full_worker_keeps_answering(
    choice: TwoChoices, sink
) -> None:
    full = LoadReport("west-0", running=4, slots=4, at=START)
    choice.report(full)
    for _ in range(3):
        choice.table.start(choice.table.states["west-0"], START)
        choice.finish("west-0", SERVICE_TIME, Outcome.ANSWERED, START)
    choice.report(full)
    assert event_names(sink) == ["upstream.report-contradicted"]


def test_worker_is_ejected_and_probed_when_it_fails(choice, sink) -> None:
    fail(choice, "west-0", 3, START)
    assert serve(choice, 200)["west-0"] == 0
    later = START + timedelta(seconds=7)
    choice.table.start_due_probes(later)
    state = choice.table.states["west-0"]
    assert state.probing
    choice.table.start(state, later)
    assert not state.has_room(later)
    choice.finish("west-0", SERVICE_TIME, Outcome.ANSWERED, later)
    assert event_names(sink) == [
        "upstream.ejected",
        "upstream.probing",
        "upstream.readmitted",
    ]
    assert serve(choice, 200, later)["west-0"] < 20
    assert serve(choice, 400, later + timedelta(seconds=31))["west-0"] > 25


def test_worker_is_ejected_for_longer_when_its_probe_fails(choice) -> None:
    fail(choice, "west-0", 3, START)
    state = choice.table.states["west-0"]
    first = state.ejected_until - START
    later = START + timedelta(seconds=7)
    choice.table.start_due_probes(later)
    fail(choice, "west-0", 1, later)
    assert state.ejected_until - later > first * 1.5


def test_ejections_are_bounded_when_every_worker_fails(choice, sink) -> None:
    for name in choice.table.states:
        fail(choice, name, 3, START)
    assert choice.table.regions() == {"west": 4}
    assert event_names(sink).count("upstream.ejection-bounded") == 4


def test_no_worker_is_ejected_when_one_request_fails_repeatedly(choice, sink) -> None:
    for name in choice.table.states:
        fail(choice, name, 5, START, cause="poison")
    assert event_names(sink) == []


def test_leaving_worker_gets_no_requests_and_starts_cold_when_it_returns(
    choice, sink
) -> None:
    choice.table.mark_leaving("west-0", START)
    assert serve(choice, 200)["west-0"] == 0
    choice.table.mark_live("west-0", START)
    state = choice.table.states["west-0"]
    assert state.cold_since == START
    assert event_names(sink) == ["upstream.leaving", "upstream.readmitted"]


def test_request_for_leaving_worker_is_refused_when_bound_has_passed(choice):
    choice.table.mark_leaving("west-0", START)
    state = choice.table.states["west-0"]
    with pytest.raises(InvariantError, match="I7"):
        choice.table.start(state, START + timedelta(seconds=4))
    assert state.in_flight == 0


def test_new_worker_is_ramped_up(choice_setup, make_workers) -> None:
    choice = TwoChoices(choice_setup)
    choice.update(make_workers(4), START)
    choice.update(make_workers(5), START)
    assert serve(choice, 200)["west-4"] < 20
    in_flight = [choice.choose(START).worker.name for _ in range(40)]
    assert in_flight.count("west-4") <= 1


def test_no_worker_is_chosen_when_connections_are_used_up(choice_setup, make_workers):
    choice = TwoChoices(choice_setup)
    choice.update(make_workers(2, connections=8), START)
    choice.table.resize(4)
    assert [choice.choose(START) is None for _ in range(5)] == [False] * 4 + [True]


def test_other_region_is_used_only_when_it_has_weight(choice_setup, make_workers):
    choice = TwoChoices(choice_setup)
    choice.update(make_workers(2) + make_workers(2, "east"), START)
    assert set(serve(choice, 100)) == {"west-0", "west-1"}
    choice.set_regions({"west": 0.75, "east": 0.25})
    east = [name for name in serve(choice, 800).elements() if name.startswith("east")]
    assert 150 < len(east) < 250


@pytest.mark.parametrize("name", ["two-choices", "round-robin", "nearest-region"])
def test_every_strategy_avoids_leaving_workers(
    name, choice_setup, make_workers
) -> None:
    choice = upstream_choices.get(name)(choice_setup)
    choice.update(make_workers(3), START)
    choice.table.mark_leaving("west-1", START)
    assert set(serve(choice, 60)) == {"west-0", "west-2"}


def test_ejections_are_bounded_in_each_region(choice_setup, make_workers, sink):
    choice = TwoChoices(choice_setup)
    choice.update(make_workers(2) + make_workers(14, "east"), START)
    for name in ("west-0", "west-1"):
        fail(choice, name, 3, START)
    assert choice.table.regions()["west"] == 1


def test_requests_in_flight_are_kept_when_a_worker_changes(choice, make_workers):
    chosen = choice.choose(START).worker
    choice.update(make_workers(8, connections=200), START)
    state = choice.table.states[chosen.name]
    assert state.in_flight == 1
    choice.finish(chosen.name, SERVICE_TIME, Outcome.ANSWERED, START)
    assert state.in_flight == 0


def test_finish_is_ignored_when_the_worker_was_removed_and_added(choice, make_workers):
    chosen = choice.choose(START).worker
    choice.update((), START)
    choice.update(make_workers(8), START)
    choice.finish(chosen.name, SERVICE_TIME, Outcome.ANSWERED, START)
    assert choice.table.states[chosen.name].in_flight == 0
