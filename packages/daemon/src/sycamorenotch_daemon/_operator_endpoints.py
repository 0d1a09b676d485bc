"""Registration of the operators' endpoints, free of any encoding."""

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

    :param arguments: the variable parts of the path, by name.
    :param author: who sends the request, for the history.
    :param expected: generation that the operator saw, if stated.
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
    """A registered endpoint; its result is a data class."""

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
