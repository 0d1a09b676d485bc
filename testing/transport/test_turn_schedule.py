"""Tests of the schedule of turns in which clients are parsed."""

from __future__ import annotations

import pytest
from twisted.internet.task import Clock

from sycamorenotch_policies.client_turns import ClientTurns
from sycamorenotch_policies.client_turns import TurnLimits
from sycamorenotch_transport import TurnSchedule


class Client:
    """A client that takes some steps, or raises, in each turn."""

    def __init__(self, steps: int = 1, error: Exception | None = None) -> None:
        self._steps = steps
        self._error = error
        self.turns = 0

    def parse_turn(self, steps: int) -> int:
        self.turns += 1
        if self._error is not None:
            raise self._error
        return self._steps


def test_client_that_raises_does_not_keep_the_others_waiting() -> None:
    clock, client = Clock(), Client()
    schedule = TurnSchedule(clock, ClientTurns())
    schedule.add(Client(error=ValueError("broken")))
    schedule.add(client)
    with pytest.raises(ValueError, match="broken"):
        clock.advance(0)
    clock.advance(0)
    assert client.turns == 1
    assert not clock.getDelayedCalls()


def test_turn_that_leaves_clients_waiting_is_reported() -> None:
    clock, held_back = Clock(), []
    turns = ClientTurns(TurnLimits(client=1, total=1))
    schedule = TurnSchedule(clock, turns, lambda: held_back.append(True))
    clients = [Client(), Client()]
    for client in clients:
        schedule.add(client)
    # The clock runs both turns.
    clock.advance(0)
    assert [client.turns for client in clients] == [1, 1]
    assert held_back == [True]
