"""What one instance may use of the grants that it holds."""

from __future__ import annotations

from datetime import timedelta
from typing import final

from sycamorenotch_kernel import Grant
from sycamorenotch_kernel import InstanceId
from sycamorenotch_kernel import Plan


@final
class GrantHolding:
    """Grants of one instance, by its own monotonic clock.

    Nothing is usable before the holder has confirmed a plan to this process:
    a plan that a restarted instance reads elsewhere may be older than the one
    that it confirmed before.

    :param instance: the instance that holds the grants.
    """

    def __init__(self, instance: InstanceId) -> None:
        self._instance = instance
        self._grants: dict[tuple[str, str], Grant] = {}
        self._asked_at: timedelta | None = None
        self.sequence = -1

    @property
    def is_confirmed(self) -> bool:
        """Whether a holder has ever confirmed a plan to this process."""
        return self._asked_at is not None

    def accept(self, plan: Plan) -> bool:
        """Put a newer plan's grants in force.

        :return: whether the plan was newer.
        """
        if plan.sequence <= self.sequence:
            return False
        self.sequence = plan.sequence
        self._grants = {
            (grant.region, grant.service): grant
            for grant in plan.grants
            if grant.instance == self._instance
        }
        return True

    def confirm(self, sequence: int, asked_at: timedelta) -> bool:
        """Renew the loans after the holder answered.

        :param sequence: the plan that the holder confirmed.
        :param asked_at: when this instance sent the question; the loan's life
            counts from then, so that a late answer cannot lengthen it.
        :return: whether the confirmation is for the plan in force.
        """
        if sequence != self.sequence:
            return False
        if self._asked_at is None or asked_at > self._asked_at:
            self._asked_at = asked_at
        return True

    def slots(self, region: str, service: str, now: timedelta) -> int:
        """Return the slots that may be filled at this moment."""
        grant = self._grants.get((region, service))
        if grant is None or self._asked_at is None:
            return 0
        lapsed = now - self._asked_at >= grant.loan_life
        return grant.floor if lapsed else grant.floor + grant.loan
