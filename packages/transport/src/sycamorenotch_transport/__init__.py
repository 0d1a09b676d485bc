"""Twisted listeners, HTTP/1.1 client and server, and name resolution."""

from __future__ import annotations

from importlib import import_module
from typing import TYPE_CHECKING
from typing import Any

if TYPE_CHECKING:
    from sycamorenotch_transport._background import PeriodicFunction
    from sycamorenotch_transport._background import PeriodicTask
    from sycamorenotch_transport._bodies import BytesProducer
    from sycamorenotch_transport._bounded_http import RejectionReason
    from sycamorenotch_transport._bounded_http import RejectionResponse
    from sycamorenotch_transport._bounded_http import RequestLimits
    from sycamorenotch_transport._http1_client import ExchangeError
    from sycamorenotch_transport._http1_client import ResponseMatch
    from sycamorenotch_transport._http1_messages import HeaderPairs
    from sycamorenotch_transport._http1_messages import HttpLimits
    from sycamorenotch_transport._http1_messages import HttpRequest
    from sycamorenotch_transport._http1_messages import HttpResponse
    from sycamorenotch_transport._http1_messages import get_header
    from sycamorenotch_transport._http1_messages import strip_hop_by_hop_headers
    from sycamorenotch_transport._http1_pool import Http1Pool
    from sycamorenotch_transport._http1_server import Handler
    from sycamorenotch_transport._http1_server import Http1Server
    from sycamorenotch_transport._listeners import HttpListener
    from sycamorenotch_transport._probe import probe_address
    from sycamorenotch_transport._resolver import LiteralResolver
    from sycamorenotch_transport._resolver import install_literal_resolver
    from sycamorenotch_transport._response_buffers import ResponseBuffers
    from sycamorenotch_transport._response_buffers import ResponseLimits
    from sycamorenotch_transport._response_timeout import ResponseTimeout
    from sycamorenotch_transport._turn_schedule import TurnSchedule

# Modules are imported on first use, so that a gateway does not load the Twisted Web
# listeners of the daemon, nor a daemon the HTTP/1.1 server of the gateway.
_MODULES = {
    "PeriodicTask": "_background",
    "PeriodicFunction": "_background",
    "BytesProducer": "_bodies",
    "ExchangeError": "_http1_client",
    "Handler": "_http1_server",
    "HeaderPairs": "_http1_messages",
    "Http1Pool": "_http1_pool",
    "Http1Server": "_http1_server",
    "HttpLimits": "_http1_messages",
    "HttpListener": "_listeners",
    "HttpRequest": "_http1_messages",
    "HttpResponse": "_http1_messages",
    "LiteralResolver": "_resolver",
    "RequestLimits": "_bounded_http",
    "RejectionResponse": "_bounded_http",
    "RejectionReason": "_bounded_http",
    "ResponseBuffers": "_response_buffers",
    "probe_address": "_probe",
    "ResponseMatch": "_http1_client",
    "ResponseLimits": "_response_buffers",
    "ResponseTimeout": "_response_timeout",
    "TurnSchedule": "_turn_schedule",
    "get_header": "_http1_messages",
    "install_literal_resolver": "_resolver",
    "strip_hop_by_hop_headers": "_http1_messages",
}

__all__ = [
    "BytesProducer",
    "ExchangeError",
    "Handler",
    "HeaderPairs",
    "Http1Pool",
    "Http1Server",
    "HttpLimits",
    "HttpListener",
    "HttpRequest",
    "HttpResponse",
    "LiteralResolver",
    "PeriodicFunction",
    "PeriodicTask",
    "RejectionReason",
    "RejectionResponse",
    "RequestLimits",
    "ResponseBuffers",
    "ResponseLimits",
    "ResponseMatch",
    "ResponseTimeout",
    "TurnSchedule",
    "get_header",
    "install_literal_resolver",
    "probe_address",
    "strip_hop_by_hop_headers",
]


def __getattr__(name: str) -> Any:
    if name not in _MODULES:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(import_module(f"{__name__}.{_MODULES[name]}"), name)
