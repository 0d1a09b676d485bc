"""Imports the modules that register policies."""

from __future__ import annotations
