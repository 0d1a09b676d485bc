"""The life of a lease at one instance, as a state machine."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol
from typing import final

from automat import TypeMachineBuilder


@final
@dataclass(slots=True)
class LeaseStanding:
    """How the instance stands to the lease.

    :param holding: whether the last that it knows is that it is the holder;
        its clock decides whether it may still act.
    """

    holding: bool = False


class LeaseLife(Protocol):
    """Events in the life of a lease; each is legal in some states only."""

    def write(self) -> None:
        """Send a write that takes, renews or releases the lease."""

    def confirm(self) -> None:
        """Learn that the instance's own write took effect."""

    def doubt(self) -> None:
        """Learn that the write may have taken effect, now or later."""

    def yield_(self) -> None:
        """Learn that another instance is the holder, or that none is."""


_builder = TypeMachineBuilder(LeaseLife, LeaseStanding)

_following = _builder.state("following")
_writing = _builder.state("writing")
_doubtful = _builder.state("doubtful")
_holding = _builder.state("holding")


@_following.upon(LeaseLife.write).to(_writing)
@_holding.upon(LeaseLife.write).to(_writing)
@_doubtful.upon(LeaseLife.write).to(_writing)
def _write(life: LeaseLife, standing: LeaseStanding) -> None:
    """Keep the standing until the answer of the store."""


@_writing.upon(LeaseLife.confirm).to(_holding)
@_doubtful.upon(LeaseLife.confirm).to(_holding)
@_holding.upon(LeaseLife.confirm).loop()
def _confirm(life: LeaseLife, standing: LeaseStanding) -> None:
    standing.holding = True


@_writing.upon(LeaseLife.doubt).to(_doubtful)
@_doubtful.upon(LeaseLife.doubt).loop()
@_holding.upon(LeaseLife.doubt).loop()
@_following.upon(LeaseLife.doubt).loop()
def _doubt(life: LeaseLife, standing: LeaseStanding) -> None:
    """Keep the standing; the store is read before the next write."""


@_following.upon(LeaseLife.yield_).loop()
@_writing.upon(LeaseLife.yield_).to(_following)
@_doubtful.upon(LeaseLife.yield_).to(_following)
@_holding.upon(LeaseLife.yield_).to(_following)
def _yield(life: LeaseLife, standing: LeaseStanding) -> None:
    standing.holding = False


new_lease_life = _builder.build()
