"""State machine of one attempt to run a request under an idempotency key."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol
from typing import final

from automat import TypeMachineBuilder


@final
@dataclass(slots=True)
class AttemptRecord:
    """Facts about an attempt that the state machine keeps up to date.

    :param dispatched: whether the request was passed to the later stages.
    :param may_have_run: whether an execution cannot be ruled out.
    :param may_be_written: whether a claim of the attempt may be in the store,
        now or later.
    :param other_may_have_run: whether another attempt for the key may have run.
    :param closed: whether the caller has been answered.
    """

    dispatched: bool = False
    may_have_run: bool = False
    may_be_written: bool = False
    other_may_have_run: bool = False
    closed: bool = False


class AttemptLifecycle(Protocol):
    """Inputs of the state machine; each is valid in some states only."""

    def write(self) -> None:
        """Start a write of the attempt's own claim."""

    def mark_write_unknown(self) -> None:
        """Record a write with an unknown outcome."""

    def reject_write(self) -> None:
        """Record that no write of the attempt took effect or ever will."""

    def hold_claim(self) -> None:
        """Record that the attempt holds the claim."""

    def dispatch(self) -> None:
        """Pass the request to the later stages."""

    def mark_not_run(self) -> None:
        """Record that the request did not run and is not being sent."""

    def end(self) -> None:
        """Record the answer, or that the outcome stays unknown."""

    def close(self) -> None:
        """Answer the caller."""


_builder = TypeMachineBuilder(AttemptLifecycle, AttemptRecord)

_unclaimed = _builder.state("unclaimed")
_claiming = _builder.state("claiming")
_held = _builder.state("held")
_dispatched = _builder.state("dispatched")
_ended = _builder.state("ended")
_closed = _builder.state("closed")


@_unclaimed.upon(AttemptLifecycle.write).to(_claiming)
@_claiming.upon(AttemptLifecycle.write).loop()
def _write(lifecycle: AttemptLifecycle, record: AttemptRecord) -> None:
    """Leave the record unchanged until the store answers."""


@_claiming.upon(AttemptLifecycle.mark_write_unknown).loop()
def _mark_write_unknown(lifecycle: AttemptLifecycle, record: AttemptRecord) -> None:
    record.may_be_written = True


@_claiming.upon(AttemptLifecycle.reject_write).to(_unclaimed)
@_unclaimed.upon(AttemptLifecycle.reject_write).loop()
def _reject_write(lifecycle: AttemptLifecycle, record: AttemptRecord) -> None:
    record.may_be_written = False


@_claiming.upon(AttemptLifecycle.hold_claim).to(_held)
def _hold_claim(lifecycle: AttemptLifecycle, record: AttemptRecord) -> None:
    record.may_be_written = True
    record.other_may_have_run = False


# The dispatched state has one incoming transition and none back to the held
# state, so that an attempt dispatches its request at most once.
@_held.upon(AttemptLifecycle.dispatch).to(_dispatched)
def _dispatch(lifecycle: AttemptLifecycle, record: AttemptRecord) -> None:
    record.dispatched = True
    record.may_have_run = True


@_dispatched.upon(AttemptLifecycle.mark_not_run).to(_ended)
def _mark_not_run(lifecycle: AttemptLifecycle, record: AttemptRecord) -> None:
    record.may_have_run = False


@_dispatched.upon(AttemptLifecycle.end).to(_ended)
def _end(lifecycle: AttemptLifecycle, record: AttemptRecord) -> None:
    """Leave the record unchanged; the request may have run."""


@_unclaimed.upon(AttemptLifecycle.close).to(_closed)
@_claiming.upon(AttemptLifecycle.close).to(_closed)
@_held.upon(AttemptLifecycle.close).to(_closed)
@_ended.upon(AttemptLifecycle.close).to(_closed)
def _close(lifecycle: AttemptLifecycle, record: AttemptRecord) -> None:
    record.closed = True


new_lifecycle = _builder.build()
