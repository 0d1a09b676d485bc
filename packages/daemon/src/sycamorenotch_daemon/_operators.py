"""The operators' front end."""

from __future__ import annotations

import dataclasses
import hmac
import json
from collections.abc import Awaitable
from collections.abc import Callable
from datetime import timedelta
from functools import wraps
from typing import Any
from typing import ClassVar
from typing import final

from klein import Klein
from twisted.web.http import Request

from sycamorenotch_daemon._configuration import ENVIRONMENT_KIND
from sycamorenotch_daemon._instances import InstanceView
from sycamorenotch_daemon._node import Node
from sycamorenotch_daemon._problems import write_problem
from sycamorenotch_documents import InvalidFileError
from sycamorenotch_documents import parse_environment
from sycamorenotch_kernel import DecisionId
from sycamorenotch_kernel import ErrorKind
from sycamorenotch_kernel import Failure
from sycamorenotch_kernel import StoreFault
from sycamorenotch_kernel import Version
from sycamorenotch_kernel import components
from sycamorenotch_transport import HttpListener

WRITE_TIMEOUT = timedelta(seconds=5)
OPERATORS_DRAIN = timedelta(seconds=5)

Handler = Callable[..., Awaitable[bytes]]


def _authorized(handler: Handler) -> Handler:
    @wraps(handler)
    async def checked(self: Any, req: Request, *args: Any, **kwargs: Any) -> bytes:
        given = req.getHeader("Authorization") or ""
        if not hmac.compare_digest(given.encode(), self.authorization):
            failure = Failure(ErrorKind.UNAUTHORIZED, "the token is not accepted")
            return write_problem(req, failure, "")
        return await handler(self, req, *args, **kwargs)

    return checked


@components.register("operators")
@final
class OperatorsFrontEnd:
    """Serves operators over HTTP with a bearer token."""

    after: ClassVar[tuple[str, ...]] = ("instances",)
    app = Klein()

    def __init__(self, node: Node) -> None:
        self._node = node
        self._view = node.require(InstanceView)  # type: ignore[type-abstract]
        self.authorization = f"Bearer {node.token}".encode()
        settings = node.settings
        self._listener = HttpListener(
            node.reactor, settings.operators_endpoint, settings.operators
        )

    async def start(self) -> None:
        """Listen for operators."""
        await self._listener.start(self.app.resource())

    async def stop(self) -> None:
        """Close the listener."""
        await self._listener.stop(OPERATORS_DRAIN)

    @app.route("/v1/documents/<name>", methods=["GET"])
    @_authorized
    async def _read_document(self, req: Request, name: str) -> bytes:
        found = await self._node.store.get(ENVIRONMENT_KIND, name, WRITE_TIMEOUT)
        if found.is_error():
            return write_problem(req, _store_failure(found.error.fault), "")
        body = {"version": found.ok.version, "text": found.ok.value.decode()}
        return _json(req, body)

    @app.route("/v1/documents/<name>", methods=["PUT"])
    @_authorized
    async def _write_document(self, req: Request, name: str) -> bytes:
        text = req.content.read()
        try:
            parse_environment(text.decode())
        except (InvalidFileError, UnicodeDecodeError) as exc:
            return write_problem(req, Failure(ErrorKind.INVALID_DOCUMENT, str(exc)), "")
        store, expected = self._node.store, req.getHeader("If-Match")
        if expected is None:
            written = await store.create(ENVIRONMENT_KIND, name, text, WRITE_TIMEOUT)
        else:
            version = Version(int(expected.strip('"')))
            written = await store.update(
                ENVIRONMENT_KIND, name, text, version, WRITE_TIMEOUT
            )
        if written.is_error():
            return write_problem(req, _store_failure(written.error.fault), "")
        return _json(req, {"version": written.ok.version})

    @app.route("/v1/status", methods=["GET"])
    @_authorized
    async def _status(self, req: Request) -> bytes:
        body = {
            "instance": self._node.settings.instance,
            "generation": self._node.configuration.generation,
            "stopping": self._node.stopping,
            "instances": [dataclasses.asdict(i) for i in self._view.instances()],
        }
        return _json(req, body)

    @app.route("/v1/decisions/<decision>", methods=["GET"])
    @_authorized
    async def _decision(self, req: Request, decision: str) -> bytes:
        record = self._node.decisions.find(DecisionId(decision))
        if record is None:
            failure = Failure(ErrorKind.NOT_FOUND, "the decision is not kept here")
            return write_problem(req, failure, decision)
        return _json(req, dataclasses.asdict(record))


def _store_failure(fault: StoreFault) -> Failure:
    kinds = {
        StoreFault.NOT_FOUND: ErrorKind.NOT_FOUND,
        StoreFault.CONFLICT: ErrorKind.CONFLICT,
    }
    return Failure(kinds.get(fault, ErrorKind.STORE_UNAVAILABLE), fault.value)


def _json(req: Request, body: object) -> bytes:
    req.setHeader("Content-Type", "application/json")
    return json.dumps(body, default=_encode).encode()


def _encode(value: object) -> str:
    return str(getattr(value, "value", value))
