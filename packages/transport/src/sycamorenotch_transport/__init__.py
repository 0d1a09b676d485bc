"""Twisted listeners and name resolution shared by the programs."""

from __future__ import annotations

from sycamorenotch_transport._bodies import BytesProducer
from sycamorenotch_transport._bounded_http import RequestBounds
from sycamorenotch_transport._bounded_http import WireAnswer
from sycamorenotch_transport._bounded_http import WireProblem
from sycamorenotch_transport._listeners import HttpListener
from sycamorenotch_transport._resolver import LiteralResolver
from sycamorenotch_transport._resolver import install_literal_resolver

__all__ = [
    "BytesProducer",
    "HttpListener",
    "LiteralResolver",
    "RequestBounds",
    "WireAnswer",
    "WireProblem",
    "install_literal_resolver",
]
