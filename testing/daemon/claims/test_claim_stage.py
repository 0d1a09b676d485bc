"""Tests of the claim stage with a fault injected at each step."""

from __future__ import annotations

from typing import Any

import pytest

from sycamorenotch_policies import BODY_LIMIT_BYTES

HELD_UNKNOWN = ("claim-held", "unknown")
STORE_NO = ("store-unavailable", "no")

LOSSES = ["NONE", "LOST_BEFORE", "LOST_AFTER", "LATE"]


def test_call_proceeds_without_claim_when_route_is_idempotent(
    fleet: Any, idempotent_call: Any
) -> None:
    sending = fleet.first.send(fleet.upstream, idempotent_call(fleet.first.call()))
    assert sending.result.ok.status == 200
    assert not fleet.first.store.calls


def test_claim_costs_two_writes_and_no_read_when_nothing_fails(fleet: Any) -> None:
    fleet.send(fleet.first)
    assert fleet.first.store.calls == {"create": 1, "update": 1}


def test_repeat_costs_one_call_and_gets_recorded_answer(fleet: Any) -> None:
    first = fleet.send(fleet.first)
    repeat = fleet.send(fleet.second)
    assert repeat.result == first.result
    assert fleet.second.store.calls == {"create": 1}
    assert fleet.upstream.by_key == {"key": 1}


def test_repeat_states_that_it_ran_when_answer_was_too_large(
    fleet: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("sycamorenotch_policies._claims.BODY_LIMIT_BYTES", 3)
    fleet.send(fleet.first)
    assert fleet.send(fleet.second).statement == ("claim-held", "yes")
    assert BODY_LIMIT_BYTES > 100_000


def test_key_is_refused_when_body_differs(fleet: Any) -> None:
    fleet.send(fleet.first)
    other = fleet.send(fleet.second, body=b"other")
    assert other.statement == ("key-reused", "no")
    assert fleet.upstream.by_key == {"key": 1}


@pytest.mark.parametrize("name", LOSSES)
def test_request_runs_once_when_answer_to_create_is_lost(
    fleet: Any, loss: Any, name: str
) -> None:
    fleet.first.store.losses.append(loss[name])
    sending = fleet.send(fleet.first)
    fleet.first.store.apply_late_writes()
    repeat = fleet.send(fleet.second)
    assert sending.result.ok == repeat.result.ok
    assert fleet.upstream.by_key == {"key": 1}


def test_late_create_is_released_when_its_call_was_refused_as_not_run(
    fleet: Any, loss: Any
) -> None:
    store = fleet.first.store
    store.losses.append(loss.LATE)
    store.always = loss.DOWN
    sending = fleet.send(fleet.first)
    assert sending.statement == STORE_NO
    store.apply_late_writes()
    assert fleet.send(fleet.second).statement == HELD_UNKNOWN
    store.always = loss.NONE
    fleet.advance_time(60)
    assert fleet.send(fleet.second).result.is_ok()
    assert fleet.upstream.by_key == {"key": 1}


def test_request_is_not_run_when_store_is_down_before_dispatch(
    fleet: Any, loss: Any
) -> None:
    fleet.first.store.always = loss.DOWN
    sending = fleet.send(fleet.first)
    assert sending.statement == STORE_NO
    assert sending.result.error.retry_after is not None
    assert not fleet.upstream.by_key
    assert fleet.first.settler.waiting == 0


@pytest.mark.parametrize("name", ["DOWN", "LOST_BEFORE", "LOST_AFTER", "LATE"])
def test_outcome_is_recorded_later_when_store_fails_after_dispatch(
    fleet: Any, loss: Any, name: str
) -> None:
    store = fleet.first.store
    store.losses.extend([loss.NONE, loss[name], loss.DOWN])
    sending = fleet.send(fleet.first)
    assert sending.result.is_ok()
    fleet.advance_time(60)
    store.apply_late_writes()
    assert fleet.first.settler.waiting == 0
    assert fleet.send(fleet.second).result.ok == sending.result.ok
    assert fleet.upstream.by_key == {"key": 1}


def test_repeat_at_same_instance_is_not_refused_as_not_run_when_store_went_down(
    fleet: Any, loss: Any
) -> None:
    fleet.send(fleet.first)
    fleet.first.store.always = loss.DOWN
    repeat = fleet.send(fleet.first)
    assert repeat.statement == ("store-unavailable", "unknown")


@pytest.mark.parametrize("name", ["HUNG_BEFORE", "HUNG_AFTER"])
def test_paused_instance_does_not_dispatch_when_deadline_has_passed(
    fleet: Any, loss: Any, name: str
) -> None:
    fleet.first.store.losses.append(loss[name])
    sending = fleet.send(fleet.first)
    between = fleet.send(fleet.second)
    fleet.first.store.resume()
    fleet.advance_time(1)
    if name == "HUNG_AFTER":
        assert sending.statement == ("deadline-passed", "no")
        assert between.statement == HELD_UNKNOWN
    else:
        assert sending.result.ok == between.result.ok
    assert fleet.send(fleet.second).result.is_ok()
    assert fleet.upstream.by_key == {"key": 1}


@pytest.mark.parametrize(
    ("losses", "runs"),
    [
        (["HUNG_BEFORE"], 1),
        (["HUNG_AFTER"], 0),
        (["NONE", "HUNG_BEFORE"], 1),
        (["NONE", "HUNG_AFTER"], 1),
    ],
)
def test_request_runs_at_most_once_when_instance_is_killed_between_steps(
    fleet: Any, loss: Any, losses: list[str], runs: int
) -> None:
    fleet.first.store.losses.extend(loss[name] for name in losses)
    fleet.send(fleet.first)
    fleet.send(fleet.second)
    fleet.send(fleet.instance("replacement"))
    assert fleet.upstream.by_key["key"] == runs


def test_request_runs_at_most_once_when_instance_is_killed_during_dispatch(
    fleet: Any, outcome: Any
) -> None:
    fleet.upstream.outcomes.append(outcome.HUNG)
    fleet.send(fleet.first)
    assert fleet.send(fleet.second).statement == HELD_UNKNOWN
    fleet.upstream.resume()
    assert fleet.upstream.by_key == {"key": 1}


def test_second_request_waits_for_outcome_when_two_run_at_once(
    fleet: Any, outcome: Any
) -> None:
    fleet.upstream.outcomes.append(outcome.HUNG)
    first = fleet.first.send(fleet.upstream)
    second = fleet.second.send(fleet.upstream)
    fleet.advance_time(0.5)
    assert second.result is None
    fleet.upstream.resume()
    fleet.advance_time(1)
    assert second.result == first.result
    assert fleet.upstream.by_key == {"key": 1}


def test_second_request_gets_retry_after_when_first_is_slow(
    fleet: Any, outcome: Any
) -> None:
    fleet.upstream.outcomes.append(outcome.HUNG)
    fleet.first.send(fleet.upstream, fleet.first.call(timeout=10))
    second = fleet.send(fleet.second, timeout=1)
    assert second.statement == HELD_UNKNOWN
    assert second.result.error.retry_after is not None


@pytest.mark.parametrize("name", ["CUT", "CROSSED", "LATE", "LOST"])
def test_repeat_is_refused_as_unknown_at_once_when_answer_was_not_usable(
    fleet: Any, outcome: Any, name: str
) -> None:
    fleet.upstream.outcomes.append(outcome[name])
    assert fleet.send(fleet.first).statement[1] == "unknown"
    repeat = fleet.second.send(fleet.upstream)
    assert repeat.statement == HELD_UNKNOWN


@pytest.mark.parametrize("name", ["SHED", "UNREACHED"])
def test_repeat_runs_when_first_attempt_is_known_not_to_have_run(
    fleet: Any, outcome: Any, name: str
) -> None:
    fleet.upstream.outcomes.append(outcome[name])
    assert fleet.send(fleet.first).statement[1] == "no"
    assert fleet.send(fleet.second).result.is_ok()
    assert fleet.upstream.by_key == {"key": 1}


def test_claim_is_settled_as_unknown_when_caller_cancels(
    fleet: Any, outcome: Any
) -> None:
    fleet.upstream.outcomes.append(outcome.HUNG)
    sending = fleet.first.send(fleet.upstream)
    sending.deferred.cancel()
    fleet.advance_time(5)
    assert fleet.second.send(fleet.upstream).statement == HELD_UNKNOWN


def test_key_is_refused_when_stored_claim_is_invalid(fleet: Any) -> None:
    fleet.send(fleet.first)
    ((kind, name), stored) = next(iter(fleet.table._objects.items()))
    fleet.table.update(kind, name, b"\xc1", stored.version)
    assert fleet.send(fleet.second).statement == HELD_UNKNOWN


def test_memory_stays_bounded_when_store_is_down_after_dispatches(
    fleet: Any, loss: Any
) -> None:
    store = fleet.first.store
    for number in range(600):
        store.losses.append(loss.NONE)
        store.always = loss.DOWN
        fleet.first.send(fleet.upstream, fleet.first.call(key=f"key-{number}"))
    assert fleet.first.settler.waiting == 512
    assert fleet.upstream.by_key.total() == 600


def test_request_runs_once_when_two_instances_draw_the_same_identifiers(
    fleet: Any,
) -> None:
    fleet.second.node.random.setstate(fleet.first.node.random.getstate())
    first, second = fleet.first.call(), fleet.second.call()
    assert first.id == second.id
    fleet.first.send(fleet.upstream, first)
    fleet.second.send(fleet.upstream, second)
    fleet.advance_time(1)
    assert fleet.upstream.by_key == {"key": 1}


def test_request_runs_once_when_restarted_instance_draws_the_same_identifiers(
    fleet: Any,
) -> None:
    fleet.first.send(fleet.upstream)
    fleet.advance_time(1)
    fleet.instance("first").send(fleet.upstream)
    fleet.advance_time(1)
    assert fleet.upstream.by_key == {"key": 1}
