"""Runs a component's turns one after another, with a delay between them."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from typing import Any
from typing import final

from twisted.internet.defer import CancelledError
from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from sycamorenotch_kernel import Event
from sycamorenotch_kernel import EventSink
from sycamorenotch_kernel import Severity
from sycamorenotch_kernel import event

FAILURE_DELAY = timedelta(seconds=5)

Turn = Callable[[], Awaitable[timedelta]]


@event(4390, "background.turn-failed", Severity.ERROR)
@final
@dataclass(frozen=True, slots=True)
class TurnFailed(Event):
    """A component's turn raised an exception; the next turn comes as usual."""

    turn: str
    error: str


@final
class Background:
    """A sequence of turns, of which one runs at a time.

    :param turn: does the work and returns the delay before the next turn.
    """

    def __init__(self, reactor: Any, sink: EventSink, turn: Turn) -> None:
        self._reactor = reactor
        self._sink = sink
        self._turn = turn
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
            error = f"{type(exc).__name__}: {exc}"
            self._sink.emit(TurnFailed(self._turn.__qualname__, error))
            return FAILURE_DELAY

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
