"""Divides the turns of the loop among clients whose input waits to be parsed."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from itertools import islice
from typing import Generic
from typing import TypeVar
from typing import final

Client = TypeVar("Client")


@final
@dataclass(frozen=True, slots=True)
class TurnLimits:
    """Limits on the input that is parsed in one turn of the loop, in parser steps.

    A step is one event of the parser. The head of a request takes more of them, and so
    does passing a request on.

    :param client: steps of one client.
    :param total: steps of all clients that wait for their turn.
    """

    client: int = 64
    total: int = 256


@final
class ClientTurns(Generic[Client]):
    """Lets waiting clients parse one after the other, each a little in its turn.

    Answers input that takes long to parse and little to send, such as bodies in chunks
    of one byte, or many requests sent ahead. Input of a client that does not wait is
    parsed when it arrives, so that a client with one request is not behind the others.
    """

    def __init__(self, limits: TurnLimits | None = None) -> None:
        self.limits = TurnLimits() if limits is None else limits
        self._waiting: OrderedDict[Client, None] = OrderedDict()

    @property
    def client_steps(self) -> int:
        """Steps of one client in one turn."""
        return self.limits.client

    @property
    def waiting(self) -> bool:
        """Whether any client waits for its turn."""
        return bool(self._waiting)

    def add(self, client: Client) -> None:
        """Let a client wait for its turn, behind those that wait already."""
        self._waiting.setdefault(client)

    def discard(self, client: Client) -> None:
        """Forget a client, as its connection is closed."""
        self._waiting.pop(client, None)

    def take_turn(self, parse: Callable[[Client, int], int]) -> bool:
        """Let the clients that wait now parse, until the steps of a turn are used up.

        :param parse: called with a client and its steps; returns the steps that it
            took. It adds the client again if there is more to parse.
        :return: whether all of them had their turn.
        """
        left = self.limits.total
        # Each takes a step at least.
        clients = tuple(islice(self._waiting, left))
        complete = len(clients) == len(self._waiting)
        for client in clients:
            if left <= 0:
                return False
            if client in self._waiting:
                self.discard(client)
                left -= max(1, parse(client, min(self.limits.client, left)))
        return complete
