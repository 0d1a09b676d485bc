"""Which claims are past their lifetime."""

from __future__ import annotations

from collections.abc import Iterable
from datetime import datetime
from datetime import timedelta
from typing import final

from sycamorenotch_policies._claims import Claim

EXPIRY_GRACE = timedelta(minutes=5)


@final
class ClaimExpiry:
    """Judges claims by two clocks, so that one wrong clock removes none.

    Besides this instance's clock, a claim that another instance created after
    the expiry has to show that the time has passed.

    :param instance: this instance.
    """

    def __init__(self, instance: str) -> None:
        self._instance = instance
        self._witness: datetime | None = None

    def observe(self, claims: Iterable[Claim]) -> None:
        """Note when other instances created their claims."""
        created = (c.created for c in claims if c.instance != self._instance)
        known = () if self._witness is None else (self._witness,)
        self._witness = max((*created, *known), default=None)

    def is_over(self, claim: Claim, now: datetime) -> bool:
        """Return whether a claim may be removed.

        :param now: wall clock time of this instance.
        """
        if self._witness is None:
            return False
        return claim.expires + EXPIRY_GRACE < min(now, self._witness)
