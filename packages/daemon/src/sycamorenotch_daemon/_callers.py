"""HTTP front end for callers: look-ups, calls, health and metrics."""

from __future__ import annotations

import re
from datetime import timedelta
from typing import ClassVar
from typing import final

from expression import Error
from expression import Ok
from expression import Result
from klein import Klein
from twisted.internet.task import deferLater
from twisted.web.http import Request
from twisted.web.server import NOT_DONE_YET

from sycamorenotch_daemon._calls import CallPipeline
from sycamorenotch_daemon._configuration import Readiness
from sycamorenotch_daemon._events import FrontEndFailed
from sycamorenotch_daemon._headers import strip_hop_by_hop_headers
from sycamorenotch_daemon._lookups import Lookups
from sycamorenotch_daemon._metrics import MetricsPage
from sycamorenotch_daemon._node import Node
from sycamorenotch_daemon._problems import rejection_response
from sycamorenotch_daemon._problems import write_problem
from sycamorenotch_kernel import Call
from sycamorenotch_kernel import CallAnswer
from sycamorenotch_kernel import DecisionId
from sycamorenotch_kernel import ErrorKind
from sycamorenotch_kernel import Failure
from sycamorenotch_kernel import Invariant
from sycamorenotch_kernel import Route
from sycamorenotch_kernel import components
from sycamorenotch_kernel import front_ends
from sycamorenotch_transport import HttpListener

MAX_REQUEST_TIMEOUT = timedelta(hours=1)
IDEMPOTENCY_KEY_PATTERN = re.compile(r"[A-Za-z0-9._~:-]{1,128}")
# A reactor may end a delay slightly early as measured by the monotonic clock.
CLOCK_TOLERANCE = timedelta(milliseconds=50)
REQUEST_TIMEOUT_S_PATTERN = re.compile(r"[0-9]{1,6}(?:\.[0-9]{1,6})?")


@components.register("callers")
@front_ends.register("callers")
@final
class CallersFrontEnd:
    """Serves callers over HTTP."""

    after: ClassVar[tuple[str, ...]] = ("calls", "instances", "metrics", "plan")
    app = Klein()

    def __init__(self, node: Node) -> None:
        self._node = node
        self._calls = node.require(CallPipeline)
        self._metrics_page = node.require(MetricsPage)
        self._lookups = Lookups(node)
        settings = node.settings
        self._listener = HttpListener(
            node.reactor,
            settings.callers_endpoint,
            settings.callers,
            lambda problem: rejection_response(problem, node.ids.decision()),
        )

    async def start(self) -> None:
        """Start to listen for callers."""
        await self._listener.start(self.app.resource())

    async def stop(self) -> None:
        """Serve until cached look-up answers expire, then drain and close.

        Waits at most for the drain bound of the configuration.
        """
        current = self._node.configuration.current
        if current is None:
            await self._listener.stop(timedelta())
            return
        bounds = current.environment.bounds
        started = self._node.clock.monotonic()
        if self._node.linger:
            # Callers may use this instance for as long as they cache an answer.
            linger = min(bounds.answer_lifetime, bounds.drain)
            await deferLater(self._node.reactor, linger.total_seconds())
        elapsed = self._node.clock.monotonic() - started
        unfinished = await self._listener.stop(bounds.drain - elapsed)
        elapsed = self._node.clock.monotonic() - started
        within_bound = unfinished == 0 or elapsed >= bounds.drain - CLOCK_TOLERANCE
        detail = f"{unfinished} requests open after {elapsed.total_seconds():.3f} s"
        self._node.invariants.holds(Invariant.I8, within_bound, detail)

    @app.route("/healthz", methods=["GET"])
    def _health(self, req: Request) -> bytes:
        return b"ok\n"

    @app.route("/readyz", methods=["GET"])
    def _ready(self, req: Request) -> bytes:
        readiness = self._node.find(Readiness)  # type: ignore[type-abstract]
        confirmed = readiness is None or readiness.is_ready()
        if not confirmed or self._node.stopping:
            req.setResponseCode(503)
            return b"not ready\n"
        return b"ready\n"

    @app.route("/metrics", methods=["GET"])
    def _metrics(self, req: Request) -> bytes:
        accept = req.requestHeaders.getRawHeaders("Accept") or []
        body, headers = self._metrics_page.render(accept)
        for name, value in headers.items():
            req.setHeader(name, value)
        return body

    @app.route("/v1/lookup", methods=["GET"])
    def _lookup(self, req: Request) -> bytes:
        return self._lookups.handle(req)

    @app.route("/v1/call/<service>/", methods=None, branch=True)
    async def _call(self, req: Request, service: str) -> object:
        decision = self._node.ids.decision()
        try:
            parsed = self._parse_call(req, service, decision)
            if parsed.is_error():
                return write_problem(req, parsed.error, decision)
            result = await self._calls.run(parsed.ok)
        except Exception as exc:
            self._node.sink.emit(FrontEndFailed(decision, type(exc).__name__))
            failure = Failure(ErrorKind.INTERNAL, "see the log of this instance")
            return write_problem(req, failure, decision)
        if req.finished or req._disconnected:
            return NOT_DONE_YET
        if self._node.stopping:
            req.setHeader("Connection", "close")
        if result.is_error():
            return write_problem(req, result.error, decision)
        return _write_answer(req, result.ok, decision)

    def _parse_call(
        self, req: Request, service: str, decision: DecisionId
    ) -> Result[Call, Failure]:
        current = self._node.configuration.current
        if current is None:
            return Error(Failure(ErrorKind.NOT_READY, "no configuration is in force"))
        environment = current.environment
        if service not in environment.services:
            return Error(Failure(ErrorKind.UNKNOWN_SERVICE, f"no service {service!r}"))
        path = "/" + req.uri.decode("latin-1").split("/", 4)[4]
        route = environment.route_for(service, path.partition("?")[0])
        if route is None:
            return Error(Failure(ErrorKind.UNKNOWN_ROUTE, f"no route for {path!r}"))
        method = req.method.decode("latin-1")
        if method not in route.methods:
            accepted = ", ".join(sorted(route.methods))
            return Error(Failure(ErrorKind.METHOD_NOT_ALLOWED, f"use {accepted}"))
        key = _idempotency_key(req, route)
        if key.is_error():
            return Error(key.error)
        timeout = _request_timeout(req, environment.ranks[route.rank].deadline)
        if timeout.is_error():
            return Error(timeout.error)
        return Ok(
            Call(
                id=decision,
                route=route,
                method=method,
                path=path,
                headers=_forwarded_headers(req),
                body=req.content.read(),
                client=req.getClientAddress().host,
                key=key.ok,
                deadline=self._node.clock.monotonic() + timeout.ok,
                generation=current.generation,
            )
        )


def _forwarded_headers(req: Request) -> tuple[tuple[str, str], ...]:
    raw = req.requestHeaders.getAllRawHeaders()
    pairs = (
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, values in raw
        for value in values
    )
    consumed = ("idempotency-key", "request-timeout", "request-id")
    return tuple(
        (n, v) for n, v in strip_hop_by_hop_headers(pairs) if n.lower() not in consumed
    )


def _raw_values(req: Request, name: bytes) -> list[str]:
    raw = req.requestHeaders.getRawHeaders(name, [])
    return [value.decode("latin-1") for value in raw]


def _idempotency_key(req: Request, route: Route) -> Result[str | None, Failure]:
    values = _raw_values(req, b"Idempotency-Key")
    if not values and route.idempotent:
        return Ok(None)
    if len(values) != 1 or IDEMPOTENCY_KEY_PATTERN.fullmatch(values[0]) is None:
        accepted = "1 to 128 letters, digits or any of . _ ~ : -"
        detail = f"exactly one Idempotency-Key is required, of {accepted}"
        return Error(Failure(ErrorKind.BAD_IDEMPOTENCY_KEY, detail))
    return Ok(values[0])


def _request_timeout(req: Request, default: timedelta) -> Result[timedelta, Failure]:
    values = _raw_values(req, b"Request-Timeout")
    if not values:
        return Ok(default)
    well_formed = len(values) == 1 and REQUEST_TIMEOUT_S_PATTERN.fullmatch(values[0])
    timeout = timedelta(seconds=float(values[0])) if well_formed else timedelta()
    if not timedelta() < timeout <= MAX_REQUEST_TIMEOUT:
        detail = "Request-Timeout must be decimal seconds, above 0 and at most 3600"
        return Error(Failure(ErrorKind.BAD_TIMEOUT, detail))
    return Ok(timeout)


def _write_answer(req: Request, answer: CallAnswer, decision: DecisionId) -> bytes:
    req.setResponseCode(answer.status)
    # Headers of the upstream replace the defaults of the server (Date, Server).
    for name, _ in answer.headers:
        req.responseHeaders.removeHeader(name)
    for name, value in answer.headers:
        req.responseHeaders.addRawHeader(name, value)
    req.setHeader("Decision-Id", decision)
    return answer.body
