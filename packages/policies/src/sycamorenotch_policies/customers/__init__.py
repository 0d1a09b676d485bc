"""Which customer a caller belongs to, and how its requests are routed.

Decides for each request whether its key belongs to a customer, with which priority and
in which regions it runs, and whether the configuration is recent enough to trust keys.
"""

from __future__ import annotations

from sycamorenotch_policies.customers._configuration_age import KeyAgeLimits
from sycamorenotch_policies.customers._configuration_age import ProvenAge
from sycamorenotch_policies.customers._configuration_age import empty_watch_proof
from sycamorenotch_policies.customers._index import CustomerIndex
from sycamorenotch_policies.customers._index import IdentifiedCaller
from sycamorenotch_policies.customers._index import Unidentified
from sycamorenotch_policies.customers._lost_writes import LostWrites

__all__ = [
    "CustomerIndex",
    "IdentifiedCaller",
    "KeyAgeLimits",
    "LostWrites",
    "ProvenAge",
    "Unidentified",
    "empty_watch_proof",
]
