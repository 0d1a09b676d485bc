"""Tests of how turns of the loop are divided among clients."""

from __future__ import annotations

from sycamorenotch_policies.client_turns import ClientTurns
from sycamorenotch_policies.client_turns import TurnLimits


class Crowd:
    """Clients with input of several steps, and the order in which they parsed."""

    def __init__(self, steps: dict[str, int]) -> None:
        self.turns: ClientTurns[str] = ClientTurns(TurnLimits(client=4, total=8))
        self.left = steps
        self.parsed: list[tuple[str, int]] = []
        for name in steps:
            self.turns.add(name)

    def parse(self, name: str, steps: int) -> int:
        taken = min(steps, self.left[name])
        self.left[name] -= taken
        self.parsed.append((name, taken))
        if self.left[name]:
            self.turns.add(name)
        return taken


def test_turn_ends_when_its_steps_are_used_up() -> None:
    # One turn parsed all that had arrived, and nobody was answered meanwhile.
    crowd = Crowd({"a": 100, "b": 100, "c": 100})
    assert not crowd.turns.take_turn(crowd.parse)
    assert crowd.parsed == [("a", 4), ("b", 4)]


def test_clients_parse_one_after_the_other() -> None:
    crowd = Crowd({"a": 100, "b": 100, "c": 1})
    for _ in range(2):
        crowd.turns.take_turn(crowd.parse)
    assert [name for name, _ in crowd.parsed] == ["a", "b", "c", "a", "b"]


def test_client_parses_once_in_a_turn() -> None:
    crowd = Crowd({"a": 100})
    assert crowd.turns.take_turn(crowd.parse)
    assert crowd.parsed == [("a", 4)]
    assert crowd.turns.waiting


def test_client_that_left_has_no_turn() -> None:
    crowd = Crowd({"a": 100, "b": 1})
    crowd.turns.discard("a")
    assert crowd.turns.take_turn(crowd.parse)
    assert crowd.parsed == [("b", 1)]
    assert not crowd.turns.waiting


def test_long_step_leaves_the_others_for_the_next_turn() -> None:
    # The head of a request cannot be parsed in parts.
    crowd = Crowd({"a": 1, "b": 1})
    assert not crowd.turns.take_turn(lambda name, steps: 1_000)
    assert crowd.turns.waiting
