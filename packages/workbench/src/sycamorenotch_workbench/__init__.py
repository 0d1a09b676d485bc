"""Local example, demonstration, benchmarks and soak tests."""

from __future__ import annotations

from sycamorenotch_workbench._example import LocalExample

__all__ = ["LocalExample"]
