"""State machine of a lease at one instance."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol
from typing import final

from automat import TypeMachineBuilder


@final
@dataclass(slots=True)
class LeaseStatus:
    """Whether the instance holds the lease.

    :param holding: whether the instance is the holder by its last observation.
        Its clock decides in addition whether it may still act.
    """

    holding: bool = False


class LeaseStateMachine(Protocol):
    """Inputs of the state machine; each is legal in some states only."""

    def write(self) -> None:
        """A write that acquires, renews or releases the lease is sent."""

    def confirm(self) -> None:
        """The instance's own write took effect."""

    def mark_unknown(self) -> None:
        """The outcome of a write is unknown; it may still take effect later."""

    def step_down(self) -> None:
        """Another instance is the holder, or the lease has no holder."""


_builder = TypeMachineBuilder(LeaseStateMachine, LeaseStatus)

_following = _builder.state("following")
_writing = _builder.state("writing")
_unknown = _builder.state("doubtful")
_holding = _builder.state("holding")


@_following.upon(LeaseStateMachine.write).to(_writing)
@_holding.upon(LeaseStateMachine.write).to(_writing)
@_unknown.upon(LeaseStateMachine.write).to(_writing)
def _write(machine: LeaseStateMachine, status: LeaseStatus) -> None:
    """Keep the status until the store answers."""


@_writing.upon(LeaseStateMachine.confirm).to(_holding)
@_unknown.upon(LeaseStateMachine.confirm).to(_holding)
@_holding.upon(LeaseStateMachine.confirm).loop()
def _confirm(machine: LeaseStateMachine, status: LeaseStatus) -> None:
    status.holding = True


@_writing.upon(LeaseStateMachine.mark_unknown).to(_unknown)
@_unknown.upon(LeaseStateMachine.mark_unknown).loop()
@_holding.upon(LeaseStateMachine.mark_unknown).loop()
@_following.upon(LeaseStateMachine.mark_unknown).loop()
def _mark_unknown(machine: LeaseStateMachine, status: LeaseStatus) -> None:
    """Keep the status; the lease is read before the next write."""


@_following.upon(LeaseStateMachine.step_down).loop()
@_writing.upon(LeaseStateMachine.step_down).to(_following)
@_unknown.upon(LeaseStateMachine.step_down).to(_following)
@_holding.upon(LeaseStateMachine.step_down).to(_following)
def _step_down(machine: LeaseStateMachine, status: LeaseStatus) -> None:
    status.holding = False


new_lease_state_machine = _builder.build()
