"""Twisted listeners and name resolution shared by the programs."""

from __future__ import annotations

from sycamorenotch_transport._listeners import HttpListener
from sycamorenotch_transport._resolver import LiteralResolver
from sycamorenotch_transport._resolver import install_literal_resolver

__all__ = ["HttpListener", "LiteralResolver", "install_literal_resolver"]
