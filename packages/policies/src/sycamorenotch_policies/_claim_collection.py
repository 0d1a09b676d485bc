"""Decides which claims have expired and may be deleted."""

from __future__ import annotations

from collections.abc import Iterable
from datetime import datetime
from datetime import timedelta
from typing import final

from sycamorenotch_policies._claims import Claim

EXPIRY_GRACE = timedelta(minutes=5)


@final
class ClaimExpiry:
    """Checks claims against two clocks, so that one wrong clock deletes none.

    A claim has expired only if both the clock of this instance and the creation
    time of a claim by another instance are past its expiry.

    :param instance: name of this instance.
    """

    def __init__(self, instance: str) -> None:
        self._instance = instance
        self._latest_created: datetime | None = None

    def observe(self, claims: Iterable[Claim]) -> None:
        """Record the latest creation time among the claims of other instances."""
        created = (
            claim.created for claim in claims if claim.instance != self._instance
        )
        previous = () if self._latest_created is None else (self._latest_created,)
        self._latest_created = max((*created, *previous), default=None)

    def is_expired(self, claim: Claim, now: datetime) -> bool:
        """Return whether a claim has expired and may be deleted.

        :param now: wall clock time of this instance.
        """
        if self._latest_created is None:
            return False
        return claim.expires + EXPIRY_GRACE < min(now, self._latest_created)
