"""What the holder of the lease knows of every instance's plan."""

from __future__ import annotations

from collections.abc import Iterable
from datetime import timedelta
from typing import final

from sycamorenotch_kernel import InstanceId
from sycamorenotch_policies import InstanceContact

UNKNOWN_SEQUENCE = -1


@final
class PlanContacts:
    """Contacts of the holder within one term of the lease.

    :param since: when the term began, on the holder's monotonic clock; an
        instance that was not confirmed in this term counts as silent from then.
    """

    def __init__(self, since: timedelta) -> None:
        self._since = since
        self._sequences: dict[InstanceId, int] = {}
        self._confirmed: dict[InstanceId, timedelta] = {}
        self._missing: dict[InstanceId, timedelta] = {}

    def report(self, instance: InstanceId, sequence: int) -> None:
        """Take in the plan that an instance states to be in force."""
        known = self._sequences.get(instance, UNKNOWN_SEQUENCE)
        self._sequences[instance] = max(known, sequence)

    def confirm(self, instance: InstanceId, now: timedelta) -> None:
        """Note that a loan was confirmed to an instance."""
        self._confirmed[instance] = now

    def update(
        self,
        listed: Iterable[InstanceId],
        holding: Iterable[InstanceId],
        now: timedelta,
    ) -> tuple[InstanceContact, ...]:
        """Return the contacts of listed instances and of those with grants.

        :param listed: instances that the platform's list names.
        :param holding: instances to which the plan grants something.
        """
        present = set(listed)
        relevant = present | set(holding)
        self._missing = {
            name: self._missing.get(name, now) for name in relevant - present
        }
        self._sequences = {n: s for n, s in self._sequences.items() if n in relevant}
        self._confirmed = {n: t for n, t in self._confirmed.items() if n in relevant}
        return tuple(self._contact(name, now) for name in sorted(relevant))

    def _contact(self, name: InstanceId, now: timedelta) -> InstanceContact:
        missing = self._missing.get(name)
        return InstanceContact(
            instance=name,
            sequence=self._sequences.get(name, UNKNOWN_SEQUENCE),
            silence=now - self._confirmed.get(name, self._since),
            gone=None if missing is None else now - missing,
        )
