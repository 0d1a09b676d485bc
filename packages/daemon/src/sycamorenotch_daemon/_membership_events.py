"""Events of fleet membership."""

from __future__ import annotations

from dataclasses import dataclass
from typing import final

from sycamorenotch_kernel import Event
from sycamorenotch_kernel import event


@event(4201, "member.changed")
@final
@dataclass(frozen=True, slots=True)
class MemberChanged(Event):
    """This daemon's view of an instance became live, leaving, suspect or gone."""

    instance: str
    state: str
    incarnation: int
