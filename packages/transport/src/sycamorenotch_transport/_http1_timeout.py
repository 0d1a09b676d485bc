"""The one timeout that a connection has at a time."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any
from typing import final


@final
class ConnectionTimeout:
    """Timer that calls a function after a delay.

    :param call_later: schedules a function after a delay and returns its timer.
    """

    def __init__(self, call_later: Callable[[float, Callable[[], None]], Any]) -> None:
        self._call_later = call_later
        self._timer: Any = None
        self._function: Callable[[], None] | None = None

    def start(self, delay_s: float, function: Callable[[], None]) -> None:
        """Start the timer, unless it is running for this function."""
        if self._function != function:
            self.cancel()
            self._function = function
            self._timer = self._call_later(delay_s, function)

    def cancel(self) -> None:
        """Stop the timer."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = self._function = None
