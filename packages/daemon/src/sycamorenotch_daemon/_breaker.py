"""Circuit breaker in front of the store."""

from __future__ import annotations

from datetime import timedelta
from random import Random
from typing import Protocol
from typing import final

from automat import TypeMachineBuilder

from sycamorenotch_kernel import Clock

CONSECUTIVE_FAILURE_THRESHOLD = 5
MIN_COOL_DOWN = timedelta(seconds=1)
MAX_COOL_DOWN = timedelta(seconds=4)


class BreakerInputs(Protocol):
    """Inputs of the breaker's state machine."""

    def allows_call(self) -> bool:
        """Return whether a call may be made now."""

    def recover(self) -> bool:
        """Close the breaker.

        :return: whether it was open or half open.
        """

    def trip(self) -> bool:
        """Open the breaker.

        :return: whether it was closed.
        """

    def end_cool_down(self) -> None:
        """End a cool-down: an open breaker becomes half open."""


def _machine_builder() -> TypeMachineBuilder[BreakerInputs, None]:
    builder = TypeMachineBuilder(BreakerInputs, type(None))
    closed = builder.state("closed")
    opened = builder.state("open")
    half_open = builder.state("half open")
    probing = builder.state("probing")
    closed.upon(BreakerInputs.allows_call).loop().returns(True)
    opened.upon(BreakerInputs.allows_call).loop().returns(False)
    half_open.upon(BreakerInputs.allows_call).to(probing).returns(True)
    probing.upon(BreakerInputs.allows_call).loop().returns(False)
    closed.upon(BreakerInputs.recover).loop().returns(False)
    for state in (opened, half_open, probing):
        state.upon(BreakerInputs.recover).to(closed).returns(True)
    closed.upon(BreakerInputs.trip).to(opened).returns(True)
    for state in (opened, half_open, probing):
        state.upon(BreakerInputs.trip).to(opened).returns(False)
    closed.upon(BreakerInputs.end_cool_down).loop().returns(None)
    # A probe can be a watch that stays open for long. The end of each cool-down
    # therefore allows another probe, although the last one has not ended.
    for state in (opened, half_open, probing):
        state.upon(BreakerInputs.end_cool_down).to(half_open).returns(None)
    return builder


_CREATE_MACHINE = _machine_builder().build()


@final
class CircuitBreaker:
    """Refuses calls while the store fails, except one probe after each cool-down.

    :param random: source of the jitter that spreads the probes of the instances.
    """

    def __init__(self, clock: Clock, random: Random) -> None:
        self._clock = clock
        self._random = random
        self._failures = 0
        self._cool_down_ends_at = timedelta()
        self._state_machine = _CREATE_MACHINE(None)

    def allows_call(self) -> bool:
        """Return whether a call may be made now.

        A half-open breaker allows a single call, which probes the store.
        """
        now = self._clock.monotonic()
        if now >= self._cool_down_ends_at:
            self._state_machine.end_cool_down()
            self._cool_down_ends_at = now + self._cool_down()
        return self._state_machine.allows_call()

    def record_success(self) -> bool:
        """Record a call that the store answered.

        :return: whether the breaker closed.
        """
        self._failures = 0
        return self._state_machine.recover()

    def record_failure(self) -> bool:
        """Record a failed call, which counts until the next success.

        :return: whether the breaker opened.
        """
        self._failures += 1
        if self._failures < CONSECUTIVE_FAILURE_THRESHOLD:
            return False
        self._cool_down_ends_at = self._clock.monotonic() + self._cool_down()
        return self._state_machine.trip()

    def _cool_down(self) -> timedelta:
        spread = MAX_COOL_DOWN - MIN_COOL_DOWN
        return MIN_COOL_DOWN + self._random.random() * spread
