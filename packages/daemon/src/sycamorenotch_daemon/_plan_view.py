"""The plan that the other components of a daemon work by."""

from __future__ import annotations

from typing import Protocol

from sycamorenotch_kernel import Plan


class PlanView(Protocol):
    """What this daemon knows of the plan.

    The component that receives plans provides it to the node.
    """

    def plan(self) -> Plan | None:
        """Return the plan in force, if there is one."""
        ...
