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
    """An instance is now live, leaving, suspect or gone, as this daemon sees it."""

    instance: str
    state: str
    incarnation: int
