"""The life of an instance as another one sees it."""

from __future__ import annotations

from typing import Protocol

from automat import TypeMachineBuilder

from sycamorenotch_kernel import MemberState


class MemberLife(Protocol):
    """Inputs of a member's machine; each returns whether the state changed."""

    def state(self) -> MemberState:
        """Return the state."""

    def alive(self) -> bool:
        """Take note that the member serves."""

    def leave(self) -> bool:
        """Take note that the member announced its stop."""

    def suspect(self) -> bool:
        """Take note that the member does not answer."""

    def confirm(self) -> bool:
        """Take note that nobody refuted the suspicion in time."""


def _machine() -> TypeMachineBuilder[MemberLife, None]:
    builder = TypeMachineBuilder(MemberLife, type(None))
    states = {state: builder.state(state.value) for state in MemberState}
    for name, state in states.items():
        state.upon(MemberLife.state).loop().returns(name)
        for each, target in (
            (MemberLife.alive, MemberState.LIVE),
            (MemberLife.leave, MemberState.LEAVING),
            (MemberLife.suspect, MemberState.SUSPECT),
            (MemberLife.confirm, MemberState.GONE),
        ):
            # What is gone cannot be suspected; only new news revives it.
            stays = name is MemberState.GONE and target is MemberState.SUSPECT
            end = name if stays else target
            state.upon(each).to(states[end]).returns(end is not name)
    return builder


_BUILD = _machine().build()


def new_life() -> MemberLife:
    """Return the machine of a member that is thought live."""
    return _BUILD(None)
