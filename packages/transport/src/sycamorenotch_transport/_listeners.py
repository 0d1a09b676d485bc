"""HTTP listeners that finish open requests before they stop."""

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

from sycamorenotch_transport._bounded_http import BuildRejection
from sycamorenotch_transport._bounded_http import LimitedChannel
from sycamorenotch_transport._bounded_http import LimitedRequest
from sycamorenotch_transport._bounded_http import RequestLimits
from sycamorenotch_transport._bounded_http import plain_text_rejection

IDLE_TIMEOUT_S = 60
DEFAULT_LIMITS = RequestLimits()


@final
class HttpListener:
    """Serves a Twisted Web resource on an address.

    :param endpoint: Twisted endpoint string, or empty for plain TCP on the
        address.
    :param address: ``IP:port``.
    :param build_rejection: builds the response to a request that exceeds a limit.
    :param limits: limits on one request.
    """

    def __init__(
        self,
        reactor: Any,
        endpoint: str,
        address: str,
        build_rejection: BuildRejection = plain_text_rejection,
        limits: RequestLimits = DEFAULT_LIMITS,
    ) -> None:
        self._reactor = reactor
        self._endpoint = endpoint or _tcp_endpoint(address)
        self._build_rejection = build_rejection
        self._limits = limits
        self._port: IListeningPort | None = None
        self._open_requests: set[Request] = set()
        self._channels: set[LimitedChannel] = set()
        self._drained: Deferred[None] | None = None

    async def start(self, resource: IResource) -> None:
        """Start listening; the port accepts connections when this returns."""
        site = Site(
            resource,
            timeout=IDLE_TIMEOUT_S,
            reactor=self._reactor,
            parsePOSTFormSubmission=False,
        )
        site.displayTracebacks = False
        site.protocol = self._build_channel
        site.requestFactory = self._track_requests(LimitedRequest)
        endpoint = serverFromString(self._reactor, self._endpoint)
        self._port = await endpoint.listen(site)

    async def stop(self, timeout: timedelta) -> int:
        """Stop listening, wait for open requests, then close idle connections.

        A connection left open would serve requests of callers that keep it after
        the components behind this listener have stopped.

        :param timeout: maximum time to wait for open requests.
        :return: number of requests that are still open.
        """
        if self._port is not None:
            await self._port.stopListening()
        if self._open_requests and timeout > timedelta():
            self._drained = Deferred()
            self._drained.addTimeout(
                timeout.total_seconds(), self._reactor, lambda result, _: None
            )
            await self._drained
        for channel in tuple(self._channels):
            channel.close_when_idle()
        return len(self._open_requests)

    def _build_channel(self) -> LimitedChannel:
        channel = LimitedChannel(
            self._reactor, self._limits, self._build_rejection, self._channels.discard
        )
        self._channels.add(channel)
        return channel

    def _finish(self, req: Request) -> None:
        self._open_requests.discard(req)
        if (
            not self._open_requests
            and self._drained is not None
            and not self._drained.called
        ):
            self._drained.callback(None)

    def _track_requests(self, factory: Any) -> Any:
        def build(*args: Any, **kwargs: Any) -> Request:
            req = factory(*args, **kwargs)
            process = req.process

            def process_tracked() -> None:
                self._open_requests.add(req)
                req.notifyFinish().addBoth(lambda _: self._finish(req))
                process()

            req.process = process_tracked
            return req

        return build


def _tcp_endpoint(address: str) -> str:
    host, _, port = address.rpartition(":")
    interface = host.removeprefix("[").removesuffix("]").replace(":", r"\:")
    return f"tcp:{port}:interface={interface}"
