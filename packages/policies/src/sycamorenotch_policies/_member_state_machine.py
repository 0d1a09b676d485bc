"""State machine of a fleet member as another instance observes it."""

from __future__ import annotations

from typing import Protocol

from automat import TypeMachineBuilder

from sycamorenotch_kernel import MemberState


class MemberStateMachine(Protocol):
    """Inputs of the state machine; each returns whether the state changed."""

    def state(self) -> MemberState:
        """Return the current state."""

    def alive(self) -> bool:
        """The member is alive."""

    def leave(self) -> bool:
        """The member announced that it is leaving."""

    def suspect(self) -> bool:
        """The member does not answer and is suspected."""

    def confirm(self) -> bool:
        """The suspicion was not refuted in time."""


def _machine_builder() -> TypeMachineBuilder[MemberStateMachine, None]:
    builder = TypeMachineBuilder(MemberStateMachine, type(None))
    states = {state: builder.state(state.value) for state in MemberState}
    for name, state in states.items():
        state.upon(MemberStateMachine.state).loop().returns(name)
        for input_method, target in (
            (MemberStateMachine.alive, MemberState.LIVE),
            (MemberStateMachine.leave, MemberState.LEAVING),
            (MemberStateMachine.suspect, MemberState.SUSPECT),
            (MemberStateMachine.confirm, MemberState.GONE),
        ):
            # A gone member cannot become suspected; only a newer state revives it.
            ignored = name is MemberState.GONE and target is MemberState.SUSPECT
            end = name if ignored else target
            state.upon(input_method).to(states[end]).returns(end is not name)
    return builder


_NEW_MACHINE = _machine_builder().build()


def new_member_state_machine() -> MemberStateMachine:
    """Return the state machine of a member that is considered live."""
    return _NEW_MACHINE(None)
