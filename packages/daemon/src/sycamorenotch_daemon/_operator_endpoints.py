"""Registration of the operators' endpoints, independent of HTTP and JSON."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from typing import final

from expression import Result

from sycamorenotch_daemon._node import Node
from sycamorenotch_kernel import Failure
from sycamorenotch_kernel import operator_endpoints


@final
@dataclass(frozen=True, slots=True)
class OperatorRequest:
    """A request of an operator.

    :param arguments: values of the path's variables, by name.
    :param author: name of the operator, for the history.
    :param expected: generation that a change is based on, if stated.
    :param source: environment and generation that a promotion copies.
    """

    arguments: Mapping[str, str] = field(default_factory=dict)
    body: bytes = b""
    author: str = ""
    expected: str | None = None
    source: str = ""


OperatorResult = Result[object, Failure]
EndpointFunction = Callable[[Node, OperatorRequest], Awaitable[OperatorResult]]


@final
@dataclass(frozen=True, slots=True)
class OperatorEndpoint:
    """A registered endpoint.

    :param run: handles a request and returns a data class or a failure.
    """

    method: str
    path: str
    run: EndpointFunction


def endpoint(method: str, path: str) -> Callable[[EndpointFunction], EndpointFunction]:
    """Return a decorator that registers a function as an endpoint."""

    def decorate(function: EndpointFunction) -> EndpointFunction:
        value = OperatorEndpoint(method, path, function)
        operator_endpoints.add(f"{method} {path}", value, function.__module__)
        return function

    return decorate
