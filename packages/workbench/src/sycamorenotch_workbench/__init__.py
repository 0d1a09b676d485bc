"""Local example, demonstration, benchmarks and long runs."""

from __future__ import annotations

from sycamorenotch_workbench._example import LocalExample

__all__ = ["LocalExample"]
