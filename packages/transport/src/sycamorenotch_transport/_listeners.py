"""HTTP listeners that stop without cutting requests."""

from __future__ import annotations

from datetime import timedelta
from typing import Any
from typing import final

from twisted.internet.endpoints import serverFromString
from twisted.internet.interfaces import IListeningPort
from twisted.internet.task import deferLater
from twisted.web.http import Request
from twisted.web.resource import IResource
from twisted.web.server import Site

IDLE_CONNECTION_S = 60
DRAIN_POLL = timedelta(milliseconds=20)


@final
class HttpListener:
    """Serves a resource on an address.

    :param endpoint: Twisted endpoint string, or empty for plain TCP on the
        address.
    :param address: ``IP:port``.
    """

    def __init__(self, reactor: Any, endpoint: str, address: str) -> None:
        self._reactor = reactor
        self._endpoint = endpoint or _tcp_endpoint(address)
        self._port: IListeningPort | None = None
        self._open: set[Request] = set()

    async def start(self, resource: IResource) -> None:
        """Listen; the port accepts connections when this returns."""
        site = Site(resource, reactor=self._reactor, timeout=IDLE_CONNECTION_S)
        site.displayTracebacks = False
        site.requestFactory = self._track(site.requestFactory)
        endpoint = serverFromString(self._reactor, self._endpoint)
        self._port = await endpoint.listen(site)

    async def stop(self, bound: timedelta) -> None:
        """Stop listening, then wait for open requests.

        :param bound: longest time to wait for open requests.
        """
        if self._port is not None:
            await self._port.stopListening()
        limit = self._reactor.seconds() + bound.total_seconds()
        while self._open and self._reactor.seconds() < limit:
            await deferLater(self._reactor, DRAIN_POLL.total_seconds())

    def _track(self, factory: Any) -> Any:
        def build(*args: Any, **kwargs: Any) -> Request:
            req = factory(*args, **kwargs)
            process = req.process

            def tracked() -> None:
                self._open.add(req)
                req.notifyFinish().addBoth(lambda _: self._open.discard(req))
                process()

            req.process = tracked
            return req

        return build


def _tcp_endpoint(address: str) -> str:
    host, _, port = address.rpartition(":")
    interface = host.removeprefix("[").removesuffix("]").replace(":", r"\:")
    return f"tcp:{port}:interface={interface}"
