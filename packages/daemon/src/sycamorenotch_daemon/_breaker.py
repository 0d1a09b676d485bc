"""Circuit breaker in front of the store."""

from __future__ import annotations

from datetime import timedelta
from random import Random
from typing import Protocol
from typing import final

from automat import TypeMachineBuilder

from sycamorenotch_kernel import Clock

FAILURES_TO_OPEN = 5
SHORTEST_COOL_DOWN = timedelta(seconds=1)
LONGEST_COOL_DOWN = timedelta(seconds=4)


class BreakerLife(Protocol):
    """Inputs of the breaker's machine."""

    def admits(self) -> bool:
        """Return whether a call may be made now."""

    def recover(self) -> bool:
        """Take note of an answer; return whether the breaker closed."""

    def trip(self) -> bool:
        """Take note of many failures; return whether the breaker was closed."""

    def cool(self) -> None:
        """Take note that a cool-down is over."""


def _machine() -> TypeMachineBuilder[BreakerLife, None]:
    builder = TypeMachineBuilder(BreakerLife, type(None))
    closed = builder.state("closed")
    opened = builder.state("open")
    half_open = builder.state("half open")
    probing = builder.state("probing")
    closed.upon(BreakerLife.admits).loop().returns(True)
    opened.upon(BreakerLife.admits).loop().returns(False)
    half_open.upon(BreakerLife.admits).to(probing).returns(True)
    probing.upon(BreakerLife.admits).loop().returns(False)
    closed.upon(BreakerLife.recover).loop().returns(False)
    for state in (opened, half_open, probing):
        state.upon(BreakerLife.recover).to(closed).returns(True)
    closed.upon(BreakerLife.trip).to(opened).returns(True)
    for state in (opened, half_open, probing):
        state.upon(BreakerLife.trip).to(opened).returns(False)
    closed.upon(BreakerLife.cool).loop().returns(None)
    # A probe may be a long watch, so that another cool-down allows another.
    for state in (opened, half_open, probing):
        state.upon(BreakerLife.cool).to(half_open).returns(None)
    return builder


_BUILD = _machine().build()


@final
class Breaker:
    """Refuses calls while the store fails, and probes it now and then.

    :param random: spreads the probes of the daemons.
    """

    def __init__(self, clock: Clock, random: Random) -> None:
        self._clock = clock
        self._random = random
        self._failures = 0
        self._cool_at = timedelta()
        self._life = _BUILD(None)

    def admits(self) -> bool:
        """Return whether a call may be made now."""
        now = self._clock.monotonic()
        if now >= self._cool_at:
            self._life.cool()
            self._cool_at = now + self._cool_down()
        return self._life.admits()

    def succeeded(self) -> bool:
        """Take note of a call that the store answered.

        :return: whether the breaker closed.
        """
        self._failures = 0
        return self._life.recover()

    def failed(self) -> bool:
        """Take note of a failed call.

        :return: whether the breaker opened.
        """
        self._failures += 1
        if self._failures < FAILURES_TO_OPEN:
            return False
        self._cool_at = self._clock.monotonic() + self._cool_down()
        return self._life.trip()

    def _cool_down(self) -> timedelta:
        spread = LONGEST_COOL_DOWN - SHORTEST_COOL_DOWN
        return SHORTEST_COOL_DOWN + self._random.random() * spread
