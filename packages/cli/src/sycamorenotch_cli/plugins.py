"""Imports the modules that register commands."""

from __future__ import annotations

from sycamorenotch_cli import _documents
from sycamorenotch_cli import _plugins

__all__ = ["_documents", "_plugins"]
