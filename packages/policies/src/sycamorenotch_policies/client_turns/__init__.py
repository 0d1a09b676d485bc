"""Decides whose input is parsed in a turn of the loop, and how much of it.

For the front end of a gateway, which serves all clients on one thread.
"""

from __future__ import annotations

from sycamorenotch_policies.client_turns._turns import ClientTurns
from sycamorenotch_policies.client_turns._turns import TurnLimits

__all__ = ["ClientTurns", "TurnLimits"]
