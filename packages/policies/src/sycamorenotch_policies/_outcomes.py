"""How an attempt at an upstream worker ended."""

from __future__ import annotations

from enum import Enum
from enum import unique
from typing import final


@final
@unique
class Outcome(Enum):
    """End of one attempt, as this instance saw it."""

    ANSWERED = "answered"
    SHED = "shed"
    FAILED = "failed"
    LATE = "late"
    CANCELLED = "cancelled"

    @property
    def is_failure(self) -> bool:
        """Whether the worker is to blame for the missing answer."""
        return self in (Outcome.FAILED, Outcome.LATE)
