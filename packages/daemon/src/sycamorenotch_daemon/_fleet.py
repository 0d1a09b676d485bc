"""Read access to the membership of the fleet."""

from __future__ import annotations

from typing import Protocol

from sycamorenotch_policies import FleetMember


class FleetView(Protocol):
    """Membership and configuration generations of the fleet, from heartbeats."""

    def members(self) -> tuple[FleetMember, ...]:
        """Return every known instance and this one, sorted by identifier."""
        ...

    def in_force(self, generation: int) -> tuple[FleetMember, ...]:
        """Return the members known to serve at least a generation."""
        ...

    def missing(self, generation: int) -> tuple[FleetMember, ...]:
        """Return the members not known to serve at least a generation.

        Members in the state ``GONE`` are not included.
        """
        ...
