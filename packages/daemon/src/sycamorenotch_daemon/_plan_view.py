"""Read access to the plan for the other components of a daemon."""

from __future__ import annotations

from typing import Protocol

from sycamorenotch_kernel import Plan


class PlanView(Protocol):
    """Read access to the plan in force; provided by the plan watch."""

    def plan(self) -> Plan | None:
        """Return the plan in force, or None before the first one."""
        ...
