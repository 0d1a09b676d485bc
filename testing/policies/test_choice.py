"""Tests of the choice of an upstream worker."""

from __future__ import annotations

from collections import Counter
from datetime import timedelta

import pytest

from sycamorenotch_kernel import InvariantError
from sycamorenotch_kernel import upstream_choices
from sycamorenotch_policies import LoadReport
from sycamorenotch_policies import Outcome
from sycamorenotch_policies import TwoChoices

USUAL = timedelta(milliseconds=10)
START = timedelta(seconds=100)


def names_of(events) -> list[str]:
    return [event.name for event in events.events]


@pytest.fixture
def choice(choice_setup, make_workers) -> TwoChoices:
    choice = TwoChoices(choice_setup)
    choice.update(make_workers(8), START)
    return choice


def draw(choice, number: int, now: timedelta = START) -> Counter[str]:
    """Serve requests one after the other and count them by worker."""
    counted: Counter[str] = Counter()
    for _ in range(number):
        chosen = choice.choose(now)
        assert chosen is not None
        counted[chosen.worker.name] += 1
        choice.finish(chosen.worker.name, USUAL, Outcome.ANSWERED, now)
    return counted


def fail(choice, name: str, number: int, now: timedelta, cause: str | None = None):
    for _ in range(number):
        choice.table.start(choice.table.states[name], now)
        choice.finish(name, USUAL, Outcome.FAILED, now, cause)


def test_load_is_even_when_workers_are_alike(choice: TwoChoices) -> None:
    for _ in range(80):
        assert choice.choose(START) is not None
    loads = [state.in_flight for state in choice.table.states.values()]
    assert max(loads) - min(loads) <= 3


def test_slow_worker_gets_less_work(choice: TwoChoices) -> None:
    for _ in range(20):
        choice.table.start(choice.table.states["west-0"], START)
        choice.finish("west-0", USUAL * 20, Outcome.ANSWERED, START)
    assert draw(choice, 400)["west-0"] < 15


def test_worker_is_not_chosen_when_it_was_tried(choice: TwoChoices) -> None:
    tried = frozenset(f"west-{index}" for index in range(7))
    assert all(choice.choose(START, tried).worker.name == "west-7" for _ in range(5))
    assert choice.choose(START, tried | {"west-7"}) is None


def test_reported_load_loses_weight_with_age(choice: TwoChoices) -> None:
    choice.report(LoadReport("west-0", running=40, slots=4, at=START))
    assert draw(choice, 200)["west-0"] == 0
    assert draw(choice, 400, START + timedelta(seconds=11))["west-0"] > 25


def test_report_is_discounted_when_worker_sheds_despite_it(
    choice: TwoChoices, sink
) -> None:
    choice.report(LoadReport("west-0", running=0, slots=4, at=START))
    state = choice.table.states["west-0"]
    choice.table.start(state, START)
    choice.finish("west-0", USUAL, Outcome.SHED, START)
    assert state.trust == 0.5
    assert names_of(sink) == ["upstream.report-contradicted"]


def test_report_is_discounted_when_full_worker_goes_on_answering(
    choice: TwoChoices, sink
) -> None:
    full = LoadReport("west-0", running=4, slots=4, at=START)
    choice.report(full)
    for _ in range(3):
        choice.table.start(choice.table.states["west-0"], START)
        choice.finish("west-0", USUAL, Outcome.ANSWERED, START)
    choice.report(full)
    assert names_of(sink) == ["upstream.report-contradicted"]


def test_worker_is_ejected_and_probed_when_it_fails(choice, sink) -> None:
    fail(choice, "west-0", 3, START)
    assert draw(choice, 200)["west-0"] == 0
    later = START + timedelta(seconds=7)
    choice.table.wake(later)
    state = choice.table.states["west-0"]
    assert state.probing
    choice.table.start(state, later)
    assert not state.has_room(later)
    choice.finish("west-0", USUAL, Outcome.ANSWERED, later)
    assert names_of(sink) == [
        "upstream.ejected",
        "upstream.probing",
        "upstream.readmitted",
    ]
    assert draw(choice, 200, later)["west-0"] < 20
    assert draw(choice, 400, later + timedelta(seconds=31))["west-0"] > 25


def test_probe_that_fails_ejects_the_worker_for_longer(choice) -> None:
    fail(choice, "west-0", 3, START)
    state = choice.table.states["west-0"]
    first = state.ejected_until - START
    later = START + timedelta(seconds=7)
    choice.table.wake(later)
    fail(choice, "west-0", 1, later)
    assert state.ejected_until - later > first * 1.5


def test_ejections_are_bounded_when_every_worker_fails(choice, sink) -> None:
    for name in choice.table.states:
        fail(choice, name, 3, START)
    assert choice.table.regions() == {"west": 4}
    assert names_of(sink).count("upstream.ejection-bounded") == 4


def test_one_request_ejects_no_worker_when_it_fails_repeatedly(choice, sink) -> None:
    for name in choice.table.states:
        fail(choice, name, 5, START, cause="poison")
    assert names_of(sink) == []


def test_leaving_worker_gets_nothing_and_comes_back_cold(choice, sink) -> None:
    choice.table.mark_leaving("west-0", START)
    assert draw(choice, 200)["west-0"] == 0
    choice.table.mark_live("west-0", START)
    state = choice.table.states["west-0"]
    assert state.cold_since == START
    assert names_of(sink) == ["upstream.leaving", "upstream.readmitted"]


def test_work_for_a_leaving_worker_is_refused_when_the_bound_has_passed(choice):
    choice.table.mark_leaving("west-0", START)
    state = choice.table.states["west-0"]
    with pytest.raises(InvariantError, match="I7"):
        choice.table.start(state, START + timedelta(seconds=4))
    assert state.in_flight == 0


def test_new_worker_is_ramped_up(choice_setup, make_workers) -> None:
    choice = TwoChoices(choice_setup)
    choice.update(make_workers(4), START)
    choice.update(make_workers(5), START)
    assert draw(choice, 200)["west-4"] < 20
    held = [choice.choose(START).worker.name for _ in range(40)]
    assert held.count("west-4") <= 1


def test_no_worker_is_chosen_when_connections_are_used_up(choice_setup, make_workers):
    choice = TwoChoices(choice_setup)
    choice.update(make_workers(2, connections=8), START)
    choice.table.resize(4)
    assert [choice.choose(START) is None for _ in range(5)] == [False] * 4 + [True]


def test_other_region_is_used_only_when_it_has_weight(choice_setup, make_workers):
    choice = TwoChoices(choice_setup)
    choice.update(make_workers(2) + make_workers(2, "east"), START)
    assert set(draw(choice, 100)) == {"west-0", "west-1"}
    choice.set_regions({"west": 0.75, "east": 0.25})
    east = [name for name in draw(choice, 800).elements() if name.startswith("east")]
    assert 150 < len(east) < 250


@pytest.mark.parametrize("name", ["two-choices", "round-robin", "nearest-region"])
def test_every_choice_avoids_leaving_workers(name, choice_setup, make_workers) -> None:
    choice = upstream_choices.get(name)(choice_setup)
    choice.update(make_workers(3), START)
    choice.table.mark_leaving("west-1", START)
    assert set(draw(choice, 60)) == {"west-0", "west-2"}


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
    choice.finish(chosen.name, USUAL, Outcome.ANSWERED, START)
    assert state.in_flight == 0


def test_finish_is_ignored_when_the_worker_was_removed_and_added(choice, make_workers):
    chosen = choice.choose(START).worker
    choice.update((), START)
    choice.update(make_workers(8), START)
    choice.finish(chosen.name, USUAL, Outcome.ANSWERED, START)
    assert choice.table.states[chosen.name].in_flight == 0
