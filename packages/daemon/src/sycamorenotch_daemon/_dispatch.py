"""The last stage of a call: sends it to an upstream worker."""

from __future__ import annotations

from datetime import timedelta
from typing import ClassVar
from typing import final

import treq
from expression import Error
from expression import Ok
from treq.client import HTTPClient
from twisted.internet.defer import CancelledError
from twisted.internet.error import ConnectError
from twisted.web.client import Agent
from twisted.web.client import HTTPConnectionPool

from sycamorenotch_daemon._headers import end_to_end
from sycamorenotch_daemon._node import Node
from sycamorenotch_kernel import Call
from sycamorenotch_kernel import CallAnswer
from sycamorenotch_kernel import CallResult
from sycamorenotch_kernel import Drains
from sycamorenotch_kernel import ErrorKind
from sycamorenotch_kernel import Failure
from sycamorenotch_kernel import Proceed
from sycamorenotch_kernel import Ran
from sycamorenotch_kernel import Worker
from sycamorenotch_kernel import call_stages

NOT_RUN_HEADER = "Request-Ran"


@call_stages.register("dispatch")
@final
class DispatchStage:
    """Sends a call to one worker of its service."""

    after: ClassVar[tuple[str, ...]] = ("claim",)

    def __init__(self, node: Node) -> None:
        self._node = node
        pool = HTTPConnectionPool(node.reactor)
        # A request is sent again only when a retry rule decides so.
        pool.retryAutomatically = False
        self._client = HTTPClient(Agent(node.reactor, pool=pool))

    async def run(self, call: Call, proceed: Proceed) -> CallResult:
        """Send the call and wait for the whole answer."""
        worker = self._choose(call)
        if worker is None:
            return Error(Failure(ErrorKind.NO_UPSTREAM, "the service has no worker"))
        call.note(f"The call was sent to {worker.name}.", worker=worker.name)
        remaining = call.deadline - self._node.clock.monotonic()
        if remaining <= timedelta():
            detail = "the deadline passed before the call was sent"
            return Error(Failure(ErrorKind.DEADLINE_PASSED, detail, Ran.NO))
        return await self._send(call, worker, remaining)

    def _choose(self, call: Call) -> Worker | None:
        current = self._node.configuration.current
        assert current is not None
        drains = self._node.require(Drains)
        listed = current.environment.workers_of(call.route.service)
        workers = [w for w in listed if not drains.covers_worker(w)]
        near = [w for w in workers if w.region == self._node.settings.region]
        return self._node.random.choice(near or workers) if workers else None

    async def _send(
        self, call: Call, worker: Worker, remaining: timedelta
    ) -> CallResult:
        headers = dict(call.headers)
        if call.key is not None:
            headers["Idempotency-Key"] = call.key
        headers["Request-Id"] = call.id
        headers["Request-Timeout"] = f"{remaining.total_seconds():.3f}"
        try:
            response = await self._client.request(
                call.method,
                f"http://{worker.address}{call.path}",
                headers=headers,
                data=call.body or None,
                timeout=remaining.total_seconds(),
                reactor=self._node.reactor,
                allow_redirects=False,
            )
            content = await treq.content(response)
        except ConnectError as exc:
            return Error(Failure(ErrorKind.UPSTREAM_FAILED, str(exc), Ran.NO))
        except CancelledError:
            return Error(Failure(ErrorKind.DEADLINE_PASSED, "the upstream was late"))
        except Exception as exc:
            return Error(Failure(ErrorKind.UPSTREAM_FAILED, type(exc).__name__))
        if response.headers.getRawHeaders(NOT_RUN_HEADER) == ["no"]:
            return Error(Failure(ErrorKind.UPSTREAM_SHED, f"{worker.name} shed it"))
        raw = response.headers.getAllRawHeaders()
        answer_headers = (
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, values in raw
            for value in values
        )
        return Ok(CallAnswer(response.code, end_to_end(answer_headers), content))
