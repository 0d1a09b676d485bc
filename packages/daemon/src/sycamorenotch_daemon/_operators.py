"""HTTP front end of the operators' endpoints."""

from __future__ import annotations

import dataclasses
import hmac
import json
from collections.abc import Awaitable
from collections.abc import Callable
from datetime import timedelta
from typing import ClassVar
from typing import final

from klein import Klein
from twisted.web.http import Request

from sycamorenotch_daemon._events import FrontEndFailed
from sycamorenotch_daemon._node import Node
from sycamorenotch_daemon._operator_endpoints import OperatorEndpoint
from sycamorenotch_daemon._operator_endpoints import OperatorRequest
from sycamorenotch_daemon._problems import write_problem
from sycamorenotch_kernel import ErrorKind
from sycamorenotch_kernel import Failure
from sycamorenotch_kernel import components
from sycamorenotch_kernel import front_ends
from sycamorenotch_kernel import operator_endpoints
from sycamorenotch_transport import HttpListener

SHUTDOWN_TIMEOUT = timedelta(seconds=5)
MAX_DOCUMENT_BYTES = 2**19


@components.register("operators")
@front_ends.register("operators")
@final
class OperatorsFrontEnd:
    """Serves the registered endpoints over HTTP, authenticated by a bearer token."""

    after: ClassVar[tuple[str, ...]] = ("instances", "drains")

    def __init__(self, node: Node) -> None:
        self._node = node
        self._authorization = f"Bearer {node.token}".encode()
        settings = node.settings
        self._listener = HttpListener(
            node.reactor, settings.operators_endpoint, settings.operators
        )

    async def start(self) -> None:
        """Listen for operators."""
        await self._listener.start(self._app().resource())

    async def stop(self) -> None:
        """Close the listener, with a bounded wait for requests in flight."""
        await self._listener.stop(SHUTDOWN_TIMEOUT)

    def _app(self) -> Klein:
        app = Klein()
        for entry in operator_endpoints:
            item = entry.value
            route = app.route(item.path, methods=[item.method], endpoint=entry.name)
            route(self._handler(item))
        return app

    def _handler(self, item: OperatorEndpoint) -> Callable[..., Awaitable[bytes]]:
        async def handle(req: Request, **arguments: str) -> bytes:
            return await self._serve(item, req, arguments)

        return handle

    async def _serve(
        self, item: OperatorEndpoint, req: Request, arguments: dict[str, str]
    ) -> bytes:
        decision = self._node.ids.decision()
        failure = self._check_request(req)
        if failure is not None:
            return write_problem(req, failure, decision)
        try:
            result = await item.run(self._node, _to_operator_request(req, arguments))
        except Exception as exc:
            self._node.sink.emit(FrontEndFailed(decision, type(exc).__name__))
            failure = Failure(ErrorKind.INTERNAL, "see the log of the instance")
            return write_problem(req, failure, decision)
        if result.is_error():
            return write_problem(req, result.error, decision)
        req.setHeader("Content-Type", "application/json")
        return encode_body(result.ok)

    def _check_request(self, req: Request) -> Failure | None:
        received = req.getHeader("Authorization") or ""
        # An empty token in the settings must not disable authentication.
        if not self._node.token or not hmac.compare_digest(
            received.encode("latin-1", "replace"), self._authorization
        ):
            return Failure(ErrorKind.UNAUTHORIZED, "missing or invalid bearer token")
        if int(req.getHeader("Content-Length") or 0) > MAX_DOCUMENT_BYTES:
            detail = f"the body exceeds {MAX_DOCUMENT_BYTES} bytes"
            return Failure(ErrorKind.BODY_TOO_LARGE, detail)
        return None


def encode_body(body: object) -> bytes:
    """Encode a data class as JSON."""
    return json.dumps(dataclasses.asdict(body), default=_to_plain).encode()  # type: ignore[call-overload]


def _to_operator_request(req: Request, arguments: dict[str, str]) -> OperatorRequest:
    expected = req.getHeader("If-Match")
    return OperatorRequest(
        arguments=arguments,
        body=req.content.read(),
        author=req.getHeader("Author") or "the holder of the operators' token",
        expected=None if expected is None else expected.strip('"'),
        source=req.getHeader("Copied-From") or "",
    )


def _to_plain(value: object) -> str:
    if hasattr(value, "isoformat"):
        return str(value.isoformat())
    return str(getattr(value, "value", value))
