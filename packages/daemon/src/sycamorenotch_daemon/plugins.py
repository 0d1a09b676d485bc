"""Imports the modules that register parts of the daemon."""

from __future__ import annotations

from sycamorenotch_daemon import _callers
from sycamorenotch_daemon import _calls
from sycamorenotch_daemon import _configuration
from sycamorenotch_daemon import _dispatch
from sycamorenotch_daemon import _events
from sycamorenotch_daemon import _http_store
from sycamorenotch_daemon import _instances
from sycamorenotch_daemon import _operators

__all__ = [
    "_callers",
    "_calls",
    "_configuration",
    "_dispatch",
    "_events",
    "_http_store",
    "_instances",
    "_operators",
]
