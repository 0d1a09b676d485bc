"""Slots that one instance may use of its grants."""

from __future__ import annotations

from datetime import timedelta
from typing import final

from sycamorenotch_kernel import Grant
from sycamorenotch_kernel import InstanceId
from sycamorenotch_kernel import Plan


@final
class HeldGrants:
    """Grants of one instance, timed by its own monotonic clock.

    No slot is usable before the lease holder has confirmed a plan to this
    process: a plan that a restarted instance reads from another source may be
    older than the one that it confirmed before the restart.

    :param instance: the instance that holds the grants.
    """

    def __init__(self, instance: InstanceId) -> None:
        self._instance = instance
        self._grants: dict[tuple[str, str], Grant] = {}
        self._renewed_at: timedelta | None = None
        self.sequence = -1

    @property
    def is_confirmed(self) -> bool:
        """Whether a lease holder has confirmed any plan to this process."""
        return self._renewed_at is not None

    def accept(self, plan: Plan) -> bool:
        """Put the grants of a newer plan in force.

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

    def confirm(self, sequence: int, requested_at: timedelta) -> bool:
        """Renew the loans on a confirmation of the lease holder.

        :param sequence: sequence of the plan that the holder confirmed.
        :param requested_at: when this instance sent the request. The loans' life
            counts from then, so that a late answer cannot extend it.
        :return: whether the confirmation is for the plan in force.
        """
        if sequence != self.sequence:
            return False
        if self._renewed_at is None or requested_at > self._renewed_at:
            self._renewed_at = requested_at
        return True

    def slots(self, region: str, service: str, now: timedelta) -> int:
        """Return the slots that may be in use now.

        :param now: monotonic clock of this instance.
        :return: floor and loan; only the floor once the loan has lapsed; 0 without a
            grant or before the first confirmation.
        """
        grant = self._grants.get((region, service))
        if grant is None or self._renewed_at is None:
            return 0
        lapsed = now - self._renewed_at >= grant.loan_life
        return grant.floor if lapsed else grant.floor + grant.loan
