"""The lease holder's record of which plan each instance has."""

from __future__ import annotations

from collections.abc import Iterable
from datetime import timedelta
from typing import final

from sycamorenotch_kernel import InstanceId
from sycamorenotch_policies import InstanceContact

UNKNOWN_SEQUENCE = -1


@final
class InstanceContacts:
    """Records reports and confirmations of instances within one lease term.

    :param since: when the term began, on the holder's monotonic clock; the
        silence of an instance without a confirmation is counted from then.
    """

    def __init__(self, since: timedelta) -> None:
        self._since = since
        self._sequences: dict[InstanceId, int] = {}
        self._confirmed_at: dict[InstanceId, timedelta] = {}
        self._missing_since: dict[InstanceId, timedelta] = {}

    def report(self, instance: InstanceId, sequence: int) -> None:
        """Record the plan that an instance reports to be in force."""
        known = self._sequences.get(instance, UNKNOWN_SEQUENCE)
        self._sequences[instance] = max(known, sequence)

    def confirm(self, instance: InstanceId, now: timedelta) -> None:
        """Record that the loans of an instance were confirmed."""
        self._confirmed_at[instance] = now

    def update(
        self,
        listed: Iterable[InstanceId],
        grant_holders: Iterable[InstanceId],
        now: timedelta,
    ) -> tuple[InstanceContact, ...]:
        """Return the contacts of listed instances and of grant holders.

        Records of all other instances are discarded.

        :param listed: instances in the platform's list.
        :param grant_holders: instances that have grants in the plan.
        """
        present = set(listed)
        relevant = present | set(grant_holders)
        self._missing_since = {
            name: self._missing_since.get(name, now) for name in relevant - present
        }
        self._sequences = {n: s for n, s in self._sequences.items() if n in relevant}
        self._confirmed_at = {
            n: t for n, t in self._confirmed_at.items() if n in relevant
        }
        return tuple(self._build_contact(name, now) for name in sorted(relevant))

    def _build_contact(self, name: InstanceId, now: timedelta) -> InstanceContact:
        missing = self._missing_since.get(name)
        return InstanceContact(
            instance=name,
            sequence=self._sequences.get(name, UNKNOWN_SEQUENCE),
            silence=now - self._confirmed_at.get(name, self._since),
            gone=None if missing is None else now - missing,
        )
