"""HTTP API of the stand-in object store and instance list."""

from __future__ import annotations

import json
from base64 import b64encode
from collections import Counter
from collections.abc import Callable
from typing import Any
from typing import final

from expression import Result
from klein import Klein
from pydantic import ValidationError
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import deferLater
from twisted.web.http import Request
from twisted.web.server import NOT_DONE_YET

from sycamorenotch_kernel import StoredObject
from sycamorenotch_kernel import StoreError
from sycamorenotch_kernel import StoreFault
from sycamorenotch_kernel import Version
from sycamorenotch_standins._faults import FaultInjector
from sycamorenotch_standins._faults import StoreFaultRequest
from sycamorenotch_standins._objects import ObjectTable

# Maximum timeout of a watch; a longer one is shortened.
MAX_WATCH_S = 60.0

HTTP_STATUS = {
    StoreFault.NOT_FOUND: 404,
    StoreFault.CONFLICT: 412,
    StoreFault.UNAVAILABLE: 503,
}


def encode_object(stored: StoredObject) -> dict[str, Any]:
    """Return the JSON form of an object."""
    return {
        "kind": stored.kind,
        "name": stored.name,
        "version": stored.version,
        "value": b64encode(stored.value).decode(),
    }


@final
class StoreApi:
    """HTTP API of an object table, with fault injection.

    :param table: the objects.
    :param reactor: schedules delays and the timeouts of watches.
    """

    app = Klein()

    def __init__(self, table: ObjectTable, reactor: IReactorTime) -> None:
        self.table = table
        self.fault = FaultInjector()
        self.calls: Counter[str] = Counter()
        self.instances: dict[str, dict[str, Any]] = {}
        self._reactor = reactor

    @app.route("/v1/objects/<kind>", methods=["GET"])
    async def _list(self, req: Request, kind: str) -> object:
        return await self._serve(req, "list", lambda: self._list_body(kind))

    def _list_body(self, kind: str) -> tuple[int, bytes]:
        objects = [encode_object(stored) for stored in self.table.list(kind)]
        body = {"objects": objects, "version": self.table.version}
        return 200, json.dumps(body).encode()

    @app.route("/v1/objects/<kind>/<name>", methods=["GET"])
    async def _get(self, req: Request, kind: str, name: str) -> object:
        return await self._serve(
            req, "get", lambda: _encode_result(self.table.get(kind, name), 200)
        )

    @app.route("/v1/objects/<kind>/<name>", methods=["PUT"])
    async def _put(self, req: Request, kind: str, name: str) -> object:
        value = req.content.read()
        if req.getHeader("If-None-Match") == "*":
            return await self._serve(
                req,
                "create",
                lambda: _encode_result(self.table.create(kind, name, value), 201),
            )
        expected = _expected_version(req)
        if expected is None:
            return _error(req, 428, "If-Match or If-None-Match is required")
        return await self._serve(
            req,
            "update",
            lambda: _encode_result(self.table.update(kind, name, value, expected), 200),
        )

    @app.route("/v1/objects/<kind>/<name>", methods=["DELETE"])
    async def _delete(self, req: Request, kind: str, name: str) -> object:
        expected = _expected_version(req)
        if expected is None:
            return _error(req, 428, "If-Match is required")
        return await self._serve(
            req,
            "delete",
            lambda: _encode_result(self.table.delete(kind, name, expected), 200),
        )

    @app.route("/v1/watch/<kind>", methods=["GET"])
    async def _watch(self, req: Request, kind: str) -> object:
        try:
            after = Version(int(_query_param(req, "after", "0")))
            timeout_s = min(float(_query_param(req, "timeout_s", "30")), MAX_WATCH_S)
        except ValueError:
            return _error(req, 400, "after and timeout_s must be numbers")
        if self.fault.mode != "down" and not self.table.changes(kind, after).objects:
            await self._wait_for_change(req, kind, timeout_s)
        return await self._serve(req, "watch", lambda: self._changes_body(kind, after))

    def _changes_body(self, kind: str, after: Version) -> tuple[int, bytes]:
        changes = self.table.changes(kind, after)
        objects = [encode_object(stored) for stored in changes.objects]
        body = {"objects": objects, "version": changes.version}
        return 200, json.dumps(body).encode()

    async def _wait_for_change(self, req: Request, kind: str, timeout_s: float) -> None:
        wake_fut: Deferred[None] = Deferred()

        def wake(_: object = None) -> None:
            if not wake_fut.called:
                wake_fut.callback(None)

        unsubscribe = self.table.on_change(kind, wake)
        timer = self._reactor.callLater(timeout_s, wake)
        req.notifyFinish().addBoth(wake)
        await wake_fut
        unsubscribe()
        if timer.active():
            timer.cancel()

    @app.route("/v1/instances", methods=["GET"])
    async def _instances(self, req: Request) -> object:
        def body() -> tuple[int, bytes]:
            listed = sorted(self.instances.values(), key=lambda item: item["id"])
            return 200, json.dumps({"instances": listed}).encode()

        return await self._serve(req, "instances", body)

    @app.route("/calls", methods=["GET"])
    def _calls(self, req: Request) -> bytes:
        req.setHeader("Content-Type", "application/json")
        return json.dumps(self.calls).encode()

    @app.route("/fault", methods=["POST"])
    def _fault(self, req: Request) -> bytes:
        try:
            fault_req = StoreFaultRequest.model_validate_json(req.content.read())
        except ValidationError as exc:
            return _error(req, 400, str(exc))
        self.fault.set(fault_req.mode, fault_req.seconds, fault_req.count)
        req.setHeader("Content-Type", "application/json")
        return b"{}"

    async def _serve(
        self, req: Request, call: str, handle: Callable[[], tuple[int, bytes]]
    ) -> object:
        self.calls[call] += 1
        mode = self.fault.next_mode()
        if mode == "down":
            return _error(req, 503, "the store is down")
        if mode == "slow":
            await deferLater(self._reactor, self.fault.seconds)
        status, body = handle()
        if mode == "lose_answers":
            req.transport.abortConnection()
            return NOT_DONE_YET
        if req.finished or req._disconnected:
            return NOT_DONE_YET
        req.setResponseCode(status)
        req.setHeader("Content-Type", "application/json")
        return body


def _encode_result(result: Result[Any, StoreError], success: int) -> tuple[int, bytes]:
    if result.is_ok():
        stored = result.ok
        body = {} if stored is None else encode_object(stored)
        return success, json.dumps(body).encode()
    error = result.error
    current = None if error.current is None else encode_object(error.current)
    body = {"fault": error.fault.name, "detail": error.detail, "current": current}
    return HTTP_STATUS[error.fault], json.dumps(body).encode()


def _query_param(req: Request, name: str, default: str) -> str:
    return req.args.get(name.encode(), [default.encode()])[0].decode()


def _expected_version(req: Request) -> Version | None:
    tag = (req.getHeader("If-Match") or "").strip('"')
    return Version(int(tag)) if tag.isascii() and tag.isdigit() else None


def _error(req: Request, status: int, detail: str) -> bytes:
    req.setResponseCode(status)
    req.setHeader("Content-Type", "application/json")
    return json.dumps({"fault": "UNAVAILABLE", "detail": detail}).encode()
