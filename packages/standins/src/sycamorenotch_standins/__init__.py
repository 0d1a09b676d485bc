"""Stand-ins for the platform's store and the upstreams, with fault injection."""

from __future__ import annotations

from sycamorenotch_standins._faults import FaultInjector
from sycamorenotch_standins._limited_site import LimitedSite
from sycamorenotch_standins._memory import MemoryStore
from sycamorenotch_standins._objects import ObjectTable
from sycamorenotch_standins._store_api import StoreApi
from sycamorenotch_standins._upstream import UpstreamWorker

__all__ = [
    "FaultInjector",
    "LimitedSite",
    "MemoryStore",
    "ObjectTable",
    "StoreApi",
    "UpstreamWorker",
]
