"""Stateful tests of several instances with one store and one upstream."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import invariant
from hypothesis.stateful import rule
from hypothesis.stateful import run_state_machine_as_test

INSTANCES = 3
KEYS = ["alpha", "beta"]
BODIES = [b"one", b"two"]
LOSSES = [
    "NONE",
    "DOWN",
    "LOST_BEFORE",
    "LOST_AFTER",
    "LATE",
    "HUNG_BEFORE",
    "HUNG_AFTER",
]
OUTCOMES = ["WHOLE", "SHED", "UNREACHED", "CUT", "CROSSED", "LATE", "LOST", "HUNG"]


def machine_class(
    new_fleet: Any, loss: Any, outcome: Any
) -> type[RuleBasedStateMachine]:
    class ClaimMachine(RuleBasedStateMachine):
        def __init__(self) -> None:
            super().__init__()
            self.fleet = new_fleet()
            self.replaced = 0
            self.instances = [self.new_instance() for _ in range(INSTANCES)]
            self.sendings: list[Any] = []

        def new_instance(self) -> Any:
            self.replaced += 1
            return self.fleet.instance(f"instance-{self.replaced}")

        @rule(
            index=st.integers(0, INSTANCES - 1),
            key=st.sampled_from(KEYS),
            body=st.sampled_from(BODIES),
            timeout=st.sampled_from([0.2, 1.0, 5.0]),
        )
        def send(self, index: int, key: str, body: bytes, timeout: float) -> None:
            instance = self.instances[index]
            call = instance.call(key=key, body=body, timeout=timeout)
            self.sendings.append(instance.send(self.fleet.upstream, call))

        @rule(
            index=st.integers(0, INSTANCES - 1),
            names=st.lists(st.sampled_from(LOSSES), min_size=1, max_size=4),
        )
        def lose(self, index: int, names: list[str]) -> None:
            store = self.instances[index].store
            store.losses.extend(loss[name] for name in names)

        @rule(index=st.integers(0, INSTANCES - 1), down=st.booleans())
        def outage(self, index: int, down: bool) -> None:
            self.instances[index].store.always = loss.DOWN if down else loss.NONE

        @rule(names=st.lists(st.sampled_from(OUTCOMES), min_size=1, max_size=3))
        def upstream_fault(self, names: list[str]) -> None:
            self.fleet.upstream.outcomes.extend(outcome[name] for name in names)

        @rule(index=st.integers(0, INSTANCES - 1))
        def resume(self, index: int) -> None:
            self.instances[index].store.resume()

        @rule(index=st.integers(0, INSTANCES - 1))
        def late_writes_arrive(self, index: int) -> None:
            self.instances[index].store.apply_late_writes()

        @rule()
        def upstream_resumes(self) -> None:
            self.fleet.upstream.resume()

        @rule(index=st.integers(0, INSTANCES - 1))
        def kill(self, index: int) -> None:
            # Writes of the killed instance may still be in flight.
            self.instances[index] = self.new_instance()

        @rule(position=st.integers(0, 9))
        def cancel(self, position: int) -> None:
            if position < len(self.sendings):
                self.sendings[-1 - position].deferred.cancel()

        @rule(seconds=st.sampled_from([0.1, 1.0, 6.0]))
        def wait(self, seconds: float) -> None:
            self.fleet.advance_time(seconds)

        @invariant()
        def each_key_ran_at_most_once(self) -> None:
            assert all(runs <= 1 for runs in self.fleet.upstream.by_key.values())

        @invariant()
        def no_request_that_ran_was_stated_as_not_run(self) -> None:
            for sending in self.sendings:
                if hasattr(sending.result, "is_error") and sending.result.is_error():
                    ran = self.fleet.upstream.by_call[sending.call.id]
                    assert not ran or sending.statement[1] != "no"

        @invariant()
        def an_answer_belongs_to_its_key_and_the_key_ran(self) -> None:
            for sending in self.sendings:
                if hasattr(sending.result, "is_ok") and sending.result.is_ok():
                    key = sending.call.key
                    assert sending.result.ok.body == f"answer to {key}".encode()
                    assert self.fleet.upstream.by_key[key] == 1

    return ClaimMachine


@pytest.mark.parametrize("steps", [30])
def test_key_runs_at_most_once_when_anything_is_lost(
    new_fleet: Any, loss: Any, outcome: Any, steps: int
) -> None:
    run_state_machine_as_test(
        machine_class(new_fleet, loss, outcome),
        settings=settings(max_examples=100, stateful_step_count=steps),
    )
