"""Decisions, kept apart from input, output and the encoding of messages."""

from __future__ import annotations

from sycamorenotch_policies._blocks import BlockTable
from sycamorenotch_policies._lookup import LookupAnswer
from sycamorenotch_policies._lookup import LookupTable

__all__ = ["BlockTable", "LookupAnswer", "LookupTable"]
