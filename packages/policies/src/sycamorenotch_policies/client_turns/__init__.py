"""Decides whose input is parsed in a turn of the loop, and who may send ahead.

For the front end of a gateway, which serves all clients on one thread.
"""

from __future__ import annotations

from sycamorenotch_policies.client_turns._ahead import AheadShares
from sycamorenotch_policies.client_turns._turns import ClientTurns
from sycamorenotch_policies.client_turns._turns import TurnLimits

__all__ = ["AheadShares", "ClientTurns", "TurnLimits"]
