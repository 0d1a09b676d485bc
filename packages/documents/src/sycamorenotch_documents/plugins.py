"""Imports the modules that register document sections."""

from __future__ import annotations

from sycamorenotch_documents import _environment

__all__ = ["_environment"]
