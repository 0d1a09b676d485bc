"""What this daemon knows about every instance of the system."""

from __future__ import annotations

from typing import Protocol

from sycamorenotch_policies import FleetMember


class FleetView(Protocol):
    """Membership and configuration of the fleet, as heard by this daemon."""

    def members(self) -> tuple[FleetMember, ...]:
        """Return every known instance, this one included, by identifier."""
        ...

    def in_force(self, generation: int) -> tuple[FleetMember, ...]:
        """Return the members that are known to serve at least a generation."""
        ...

    def missing(self, generation: int) -> tuple[FleetMember, ...]:
        """Return the members not known to serve at least a generation.

        Members that are gone are not waited for.
        """
        ...
