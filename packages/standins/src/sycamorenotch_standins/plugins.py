"""Imports the modules that register stand-in adapters."""

from __future__ import annotations

from sycamorenotch_standins import _memory

__all__ = ["_memory"]
