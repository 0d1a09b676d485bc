"""Holds back what a client has sent far ahead."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any
from typing import final

from sycamorenotch_transport._client_account import AheadWindow
from sycamorenotch_transport._http1_messages import HttpResponse


@final
class AheadHold:
    """Bounds the requests of a connection that sends far ahead.

    :param window: decides how many of them run together, and how long they wait.
    :param call_later: schedules a function after a delay and returns its timer.
    :param on_end: called when the requests may go on.
    """

    def __init__(
        self,
        window: AheadWindow,
        call_later: Callable[[float, Callable[[], None]], Any],
        on_end: Callable[[], None],
    ) -> None:
        self._window = window
        self._call_later = call_later
        self._on_end = on_end
        # Since reading was paused for the client, until it has no request.
        self._far_ahead = False
        self.active = False

    def allows(self, running: int) -> bool:
        """Whether one more request may run beside ``running`` others."""
        if self.active:
            return False
        return not self._far_ahead or self._window.allows(running)

    def reset(self) -> None:
        """Record that the client has no request."""
        self._far_ahead = False

    def record(self, response: HttpResponse, paused: bool) -> bool:
        """Record a response.

        :param paused: whether reading is paused, as much was sent ahead.
        :return: whether the client is held back from now on.
        """
        self._far_ahead = self._far_ahead or paused
        retry_after_s = response.retry_after_s
        if retry_after_s is None:
            hold_s = self._window.record_answer(self._far_ahead)
        else:
            hold_s = self._window.record_refusal(retry_after_s, self._far_ahead)
        if hold_s <= 0 or self.active:
            return False
        self.active = True
        self._call_later(hold_s, self._end)
        return True

    def _end(self) -> None:
        self.active = False
        self._on_end()
