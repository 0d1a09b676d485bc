"""Decides how much memory clients may use, and who is refused or closed beyond it.

For the front end of a gateway, which counts bytes and closes connections.
"""

from __future__ import annotations

from sycamorenotch_policies.client_memory._account import ClientAccount
from sycamorenotch_policies.client_memory._limits import ClientLimits
from sycamorenotch_policies.client_memory._limits import MachineShare
from sycamorenotch_policies.client_memory._limits import derive_client_limits
from sycamorenotch_policies.client_memory._limits import derive_own_limits
from sycamorenotch_policies.client_memory._resident import ProcessMemory
from sycamorenotch_policies.client_memory._resident import ResidentLimit
from sycamorenotch_policies.client_memory._use import ByteKind
from sycamorenotch_policies.client_memory._use import ClientUse
from sycamorenotch_policies.client_memory._use import EvictionReason

__all__ = [
    "ByteKind",
    "ClientAccount",
    "ClientLimits",
    "ClientUse",
    "EvictionReason",
    "MachineShare",
    "ProcessMemory",
    "ResidentLimit",
    "derive_client_limits",
    "derive_own_limits",
]
