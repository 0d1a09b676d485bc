"""HTTP server that stands in for an upstream worker."""

from __future__ import annotations

import json
from collections import Counter
from datetime import timedelta
from typing import final

from klein import Klein
from pydantic import ValidationError
from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import deferLater
from twisted.web.http import Request
from twisted.web.server import NOT_DONE_YET

from sycamorenotch_standins._faults import FaultInjector
from sycamorenotch_standins._faults import UpstreamFaultRequest

NOT_RUN_HEADER = "Request-Ran"
# Extra service time right after a start, as a multiple of the usual one.
COLD_START_SLOWDOWN = 4


@final
class UpstreamWorker:
    """Worker that runs requests in a limited number of slots.

    :param name: name in the environment document.
    :param slots: maximum number of concurrent requests; more are shed.
    :param service_time: duration of one request.
    :param cold_start: duration after a start in which requests take longer.
    """

    app = Klein()

    def __init__(
        self,
        name: str,
        slots: int,
        service_time: timedelta,
        reactor: IReactorTime,
        cold_start: timedelta = timedelta(),
    ) -> None:
        self.name = name
        self.slots = slots
        self.service_time = service_time
        self.fault = FaultInjector()
        self.executions: Counter[str] = Counter()
        self.running = 0
        self.served = 0
        self._reactor = reactor
        self._cold_start = cold_start
        self._started_s = reactor.seconds()

    def restart(self) -> None:
        """Begin a new cold start, as a restarted process does."""
        self._started_s = self._reactor.seconds()

    @app.route("/executions", methods=["GET"])
    def _executions(self, req: Request) -> bytes:
        return _json(req, dict(self.executions))

    @app.route("/health", methods=["GET"])
    def _health(self, req: Request) -> bytes:
        state = "leaving" if self.fault.mode == "drain" else "live"
        return _json(req, {"state": state})

    @app.route("/load", methods=["GET"])
    def _load(self, req: Request) -> bytes:
        return _json(req, {"running": self.running, "slots": self.slots})

    @app.route("/fault", methods=["POST"])
    def _fault(self, req: Request) -> bytes:
        try:
            fault_req = UpstreamFaultRequest.model_validate_json(req.content.read())
        except ValidationError as exc:
            req.setResponseCode(400)
            return str(exc).encode()
        self.fault.set(
            fault_req.mode, fault_req.seconds, fault_req.count, fault_req.path
        )
        return _json(req, {})

    @app.route("/<path:path>", methods=["GET", "HEAD", "POST", "PUT", "DELETE"])
    async def _run(self, req: Request, path: str) -> object:
        draining = self.fault.mode == "drain"
        mode = "drain" if draining else self.fault.next_mode(f"/{path}")
        if mode in ("shed", "drain") or self.running >= self.slots:
            return self._shed(req)
        self.running += 1
        try:
            return await self._execute(req, path, mode)
        finally:
            self.running -= 1

    def _shed(self, req: Request) -> bytes:
        req.setResponseCode(503)
        req.setHeader(NOT_RUN_HEADER, "no")
        req.setHeader("Retry-After", "1")
        return b""

    async def _execute(self, req: Request, path: str, mode: str) -> object:
        if mode == "crash":
            req.transport.abortConnection()
            return NOT_DONE_YET
        key = req.getHeader("Idempotency-Key")
        if key is not None:
            self.executions[key] += 1
        extra = self.fault.seconds if mode == "slow" else 0.0
        await deferLater(self._reactor, self._service_time_s() + extra)
        self.served += 1
        if req.finished or req._disconnected:
            return NOT_DONE_YET
        body = self._build_body(req, path)
        request_id = req.getHeader("Request-Id")
        if request_id is not None:
            req.setHeader("Request-Id", request_id)
        if mode == "cut":
            req.setHeader("Content-Length", str(len(body)))
            req.write(body[: len(body) // 2])
            req.transport.loseConnection()
            return NOT_DONE_YET
        req.setHeader("Content-Type", "application/json")
        return body

    def _service_time_s(self) -> float:
        age_s = self._reactor.seconds() - self._started_s
        cold_s = self._cold_start.total_seconds()
        cold_share = max(0.0, 1 - age_s / cold_s) if cold_s else 0.0
        return self.service_time.total_seconds() * (
            1 + COLD_START_SLOWDOWN * cold_share
        )

    def _build_body(self, req: Request, path: str) -> bytes:
        payload = {
            "worker": self.name,
            "method": req.method.decode(),
            "path": f"/{path}",
            "request_bytes": len(req.content.read()),
            "request_id": req.getHeader("Request-Id"),
            "served": self.served,
        }
        return json.dumps(payload).encode()


def _json(req: Request, body: object) -> bytes:
    req.setHeader("Content-Type", "application/json")
    return json.dumps(body).encode()
