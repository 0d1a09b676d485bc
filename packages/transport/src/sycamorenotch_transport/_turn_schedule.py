"""Schedules the parsing of input that is not parsed when it arrives."""

from __future__ import annotations

import sys
from collections.abc import Callable
from typing import Any
from typing import Protocol
from typing import final


class TurnClient(Protocol):
    """A connection with input that waits to be parsed."""

    def parse_turn(self, steps: int) -> int:
        """Parse for a number of steps at most; return how many it took."""
        ...


class ClientTurns(Protocol):
    """Decides which of the waiting clients parse in a turn of the loop."""

    @property
    def client_steps(self) -> int:
        """Steps of one client in one turn."""
        ...

    @property
    def waiting(self) -> bool:
        """Whether any client waits for its turn."""
        ...

    def add(self, client: TurnClient) -> None:
        """Let a client wait for its turn."""
        ...

    def discard(self, client: TurnClient) -> None:
        """Forget a client."""
        ...

    def take_turn(self, parse: Callable[[Any, int], int]) -> bool:
        """Let clients parse; return whether all that waited had their turn."""
        ...


@final
class UnlimitedTurns:
    """Lets all clients of a server that trusts them parse in every turn."""

    client_steps = sys.maxsize

    def __init__(self) -> None:
        self._waiting: dict[TurnClient, None] = {}

    @property
    def waiting(self) -> bool:
        """Whether any client waits for its turn."""
        return bool(self._waiting)

    def add(self, client: TurnClient) -> None:
        """Let a client parse in the next turn."""
        self._waiting[client] = None

    def discard(self, client: TurnClient) -> None:
        """Forget a client."""
        self._waiting.pop(client, None)

    def take_turn(self, parse: Callable[[Any, int], int]) -> bool:
        """Let all clients parse."""
        waiting, self._waiting = self._waiting, {}
        for client in waiting:
            parse(client, self.client_steps)
        return True


def ignore_held_back() -> None:
    """Ignore that clients waited for a further turn."""


@final
class TurnSchedule:
    """Runs the turns of the clients of one or more servers.

    :param turns: decides who parses in a turn; by default all.
    :param on_held_back: called after a turn in which some clients could not parse.
    """

    def __init__(
        self,
        reactor: Any,
        turns: ClientTurns | None = None,
        on_held_back: Callable[[], None] = ignore_held_back,
    ) -> None:
        self._reactor = reactor
        self._turns = UnlimitedTurns() if turns is None else turns
        self._on_held_back = on_held_back
        self._scheduled = False

    @property
    def client_steps(self) -> int:
        """Steps that a client may take with input that has just arrived."""
        return self._turns.client_steps

    def add(self, client: TurnClient) -> None:
        """Let a client parse in a later turn."""
        self._turns.add(client)
        self._schedule()

    def discard(self, client: TurnClient) -> None:
        """Forget a client, as its connection is closed."""
        self._turns.discard(client)

    def _run(self) -> None:
        self._scheduled = False
        try:
            complete = self._turns.take_turn(
                lambda client, steps: client.parse_turn(steps)
            )
        finally:
            # A client whose input raises must not keep the others waiting.
            self._schedule()
        if not complete:
            self._on_held_back()

    def _schedule(self) -> None:
        if self._turns.waiting and not self._scheduled:
            self._scheduled = True
            self._reactor.callLater(0, self._run)
