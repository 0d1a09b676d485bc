"""The life of one attempt, as a state machine."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol
from typing import final

from automat import TypeMachineBuilder


@final
@dataclass(slots=True)
class LifeRecord:
    """What has happened in the life of an attempt.

    :param dispatched: whether the request was handed to the later stages.
    :param may_have_run: whether an execution cannot be ruled out.
    :param may_be_written: whether a claim of the attempt may be in the store,
        now or later.
    :param rival: whether another attempt for the key may have run.
    :param closed: whether the caller has been answered.
    """

    dispatched: bool = False
    may_have_run: bool = False
    may_be_written: bool = False
    rival: bool = False
    closed: bool = False


class ClaimLife(Protocol):
    """Events in the life of an attempt; each is legal in some states only."""

    def write(self) -> None:
        """Send a write of the attempt's own claim."""

    def lose(self) -> None:
        """Learn that the answer to a write was lost."""

    def reject(self) -> None:
        """Learn that no write of the attempt took effect or ever will."""

    def hold(self) -> None:
        """Learn that the attempt holds the claim."""

    def dispatch(self) -> None:
        """Hand the request on."""

    def rule_out(self) -> None:
        """Learn that the request did not run and is not being sent."""

    def end(self) -> None:
        """Learn the answer, or that it will never be known."""

    def close(self) -> None:
        """Answer the caller."""


_builder = TypeMachineBuilder(ClaimLife, LifeRecord)

_unclaimed = _builder.state("unclaimed")
_claiming = _builder.state("claiming")
_held = _builder.state("held")
_dispatched = _builder.state("dispatched")
_ended = _builder.state("ended")
_closed = _builder.state("closed")


@_unclaimed.upon(ClaimLife.write).to(_claiming)
@_claiming.upon(ClaimLife.write).loop()
def _write(life: ClaimLife, record: LifeRecord) -> None:
    """Keep the record until the answer of the store."""


@_claiming.upon(ClaimLife.lose).loop()
def _lose(life: ClaimLife, record: LifeRecord) -> None:
    record.may_be_written = True


@_claiming.upon(ClaimLife.reject).to(_unclaimed)
@_unclaimed.upon(ClaimLife.reject).loop()
def _reject(life: ClaimLife, record: LifeRecord) -> None:
    record.may_be_written = False


@_claiming.upon(ClaimLife.hold).to(_held)
def _hold(life: ClaimLife, record: LifeRecord) -> None:
    record.may_be_written = True
    record.rival = False


# There is one way into the dispatched state and none back to the held state,
# so that an attempt hands its request on at most once.
@_held.upon(ClaimLife.dispatch).to(_dispatched)
def _dispatch(life: ClaimLife, record: LifeRecord) -> None:
    record.dispatched = True
    record.may_have_run = True


@_dispatched.upon(ClaimLife.rule_out).to(_ended)
def _rule_out(life: ClaimLife, record: LifeRecord) -> None:
    record.may_have_run = False


@_dispatched.upon(ClaimLife.end).to(_ended)
def _end(life: ClaimLife, record: LifeRecord) -> None:
    """Keep the record; the request may have run."""


@_unclaimed.upon(ClaimLife.close).to(_closed)
@_claiming.upon(ClaimLife.close).to(_closed)
@_held.upon(ClaimLife.close).to(_closed)
@_ended.upon(ClaimLife.close).to(_closed)
def _close(life: ClaimLife, record: LifeRecord) -> None:
    record.closed = True


new_claim_life = _builder.build()
