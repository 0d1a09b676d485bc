"""Runs a component's turns one after another, with a delay between them."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from datetime import timedelta
from typing import Any
from typing import final

from twisted.internet.defer import CancelledError
from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

FAILURE_DELAY = timedelta(seconds=5)

Turn = Callable[[], Awaitable[timedelta]]
TurnReport = Callable[[str, str], None]


@final
class Background:
    """A sequence of turns, of which one runs at a time.

    :param turn: does the work and returns the delay before the next turn.
    :param report: receives the name of a turn that raised, and the error.
    :param failure_delay: delay after a turn that raised.
    """

    def __init__(
        self,
        reactor: Any,
        turn: Turn,
        report: TurnReport,
        failure_delay: timedelta = FAILURE_DELAY,
    ) -> None:
        self._reactor = reactor
        self._turn = turn
        self._report = report
        self._failure_delay = failure_delay
        self._running: Deferred[None] | None = None
        self._pause: Deferred[None] | None = None
        self._woken = False

    def start(self, delay: timedelta = timedelta()) -> None:
        """Start, with the first turn after a delay."""
        self._running = Deferred.fromCoroutine(self._run(delay))
        self._running.addErrback(_ignore_cancelled)

    def stop(self) -> None:
        """Cancel the turn or the delay that is running."""
        running, self._running = self._running, None
        if running is not None:
            running.cancel()

    def wake(self) -> None:
        """End the delay, or have the next turn follow the running one."""
        self._woken = True
        if self._pause is not None and not self._pause.called:
            self._pause.callback(None)

    async def _run(self, delay: timedelta) -> None:
        while True:
            if not self._woken:
                await self._wait(delay)
            self._woken = False
            delay = await self._guarded_turn()

    async def _guarded_turn(self) -> timedelta:
        try:
            return await self._turn()
        except CancelledError:
            raise
        except Exception as exc:
            self._report(self._turn.__qualname__, f"{type(exc).__name__}: {exc}")
            return self._failure_delay

    async def _wait(self, delay: timedelta) -> None:
        pause: Deferred[None] = Deferred()
        timer = self._reactor.callLater(delay.total_seconds(), self.wake)
        self._pause = pause
        try:
            await pause
        finally:
            self._pause = None
            if timer.active():
                timer.cancel()


def _ignore_cancelled(failure: Failure) -> None:
    failure.trap(CancelledError)  # type: ignore[no-untyped-call]
