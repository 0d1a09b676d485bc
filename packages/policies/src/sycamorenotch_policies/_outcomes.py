"""Outcome of an attempt at an upstream worker."""

from __future__ import annotations

from enum import Enum
from enum import unique
from typing import final


@final
@unique
class Outcome(Enum):
    """Outcome of one attempt, as this instance observed it."""

    ANSWERED = "answered"
    SHED = "shed"
    FAILED = "failed"
    LATE = "late"
    CANCELLED = "cancelled"

    @property
    def is_failure(self) -> bool:
        """Whether the missing answer counts as a failure of the worker."""
        return self in (Outcome.FAILED, Outcome.LATE)
