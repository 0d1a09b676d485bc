"""HTTP listeners that stop without cutting requests."""

from __future__ import annotations

from datetime import timedelta
from typing import Any
from typing import final

from twisted.internet.defer import Deferred
from twisted.internet.endpoints import serverFromString
from twisted.internet.interfaces import IListeningPort
from twisted.web.http import Request
from twisted.web.resource import IResource
from twisted.web.server import Site

from sycamorenotch_transport._bounded_http import BoundedChannel
from sycamorenotch_transport._bounded_http import BoundedRequest
from sycamorenotch_transport._bounded_http import Refuse
from sycamorenotch_transport._bounded_http import RequestBounds
from sycamorenotch_transport._bounded_http import plain_answer

IDLE_CONNECTION_S = 60
DEFAULT_BOUNDS = RequestBounds()


@final
class HttpListener:
    """Serves a resource on an address.

    :param endpoint: Twisted endpoint string, or empty for plain TCP on the
        address.
    :param address: ``IP:port``.
    :param answer_for: builds the answer to a request beyond the bounds.
    """

    def __init__(
        self,
        reactor: Any,
        endpoint: str,
        address: str,
        answer_for: Refuse = plain_answer,
        bounds: RequestBounds = DEFAULT_BOUNDS,
    ) -> None:
        self._reactor = reactor
        self._endpoint = endpoint or _tcp_endpoint(address)
        self._answer_for = answer_for
        self._bounds = bounds
        self._port: IListeningPort | None = None
        self._open: set[Request] = set()
        self._idle: Deferred[None] | None = None

    async def start(self, resource: IResource) -> None:
        """Listen; the port accepts connections when this returns."""
        site = Site(
            resource,
            timeout=IDLE_CONNECTION_S,
            reactor=self._reactor,
            parsePOSTFormSubmission=False,
        )
        site.displayTracebacks = False
        site.protocol = self._build_channel
        site.requestFactory = self._track(BoundedRequest)
        endpoint = serverFromString(self._reactor, self._endpoint)
        self._port = await endpoint.listen(site)

    async def stop(self, bound: timedelta) -> int:
        """Stop listening, then wait for open requests.

        :param bound: longest time to wait for open requests.
        :return: number of requests that are still open.
        """
        if self._port is not None:
            await self._port.stopListening()
        if self._open and bound > timedelta():
            self._idle = Deferred()
            self._idle.addTimeout(
                bound.total_seconds(), self._reactor, lambda result, _: None
            )
            await self._idle
        return len(self._open)

    def _build_channel(self) -> BoundedChannel:
        return BoundedChannel(self._reactor, self._bounds, self._answer_for)

    def _finish(self, req: Request) -> None:
        self._open.discard(req)
        if not self._open and self._idle is not None and not self._idle.called:
            self._idle.callback(None)

    def _track(self, factory: Any) -> Any:
        def build(*args: Any, **kwargs: Any) -> Request:
            req = factory(*args, **kwargs)
            process = req.process

            def tracked() -> None:
                self._open.add(req)
                req.notifyFinish().addBoth(lambda _: self._finish(req))
                process()

            req.process = tracked
            return req

        return build


def _tcp_endpoint(address: str) -> str:
    host, _, port = address.rpartition(":")
    interface = host.removeprefix("[").removesuffix("]").replace(":", r"\:")
    return f"tcp:{port}:interface={interface}"
