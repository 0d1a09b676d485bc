"""Small stand-ins for the platform and the upstreams."""

from __future__ import annotations

from sycamorenotch_standins._faults import FaultSwitch
from sycamorenotch_standins._limited_site import LimitedSite
from sycamorenotch_standins._memory import MemoryStore
from sycamorenotch_standins._objects import ObjectTable
from sycamorenotch_standins._store_api import StoreApi
from sycamorenotch_standins._upstream import UpstreamWorker

__all__ = [
    "FaultSwitch",
    "LimitedSite",
    "MemoryStore",
    "ObjectTable",
    "StoreApi",
    "UpstreamWorker",
]
