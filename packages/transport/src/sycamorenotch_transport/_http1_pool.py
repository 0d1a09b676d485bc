"""Connection pool of the HTTP/1.1 client."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from functools import partial
from typing import Any
from typing import final

from twisted.internet.defer import CancelledError
from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionRefusedError
from twisted.internet.protocol import ClientFactory
from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure

from sycamorenotch_transport._http1_client import ClientConnection
from sycamorenotch_transport._http1_client import ExchangeError
from sycamorenotch_transport._http1_client import ResponseMatcher
from sycamorenotch_transport._http1_client import do_nothing
from sycamorenotch_transport._http1_client import match_any
from sycamorenotch_transport._http1_messages import HttpRequest
from sycamorenotch_transport._http1_messages import HttpResponse
from sycamorenotch_transport._response_buffers import ResponseBuffers

# Default of ``Http1Pool.max_idle_connections``.
MAX_IDLE_CONNECTIONS = 16


@final
class _ConnectionFactory(ClientFactory):
    noisy = False

    def __init__(self, result: Deferred[ClientConnection], pool: Http1Pool) -> None:
        self._result = result
        self._pool = pool

    def buildProtocol(self, addr: Any) -> Protocol:
        connection = self._pool.build_connection()
        original = connection.connectionMade

        def connection_made() -> None:
            original()
            if self._result.called:
                connection.abort()
            else:
                self._result.callback(connection)

        connection.connectionMade = connection_made  # type: ignore[method-assign]
        return connection

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        if not self._result.called:
            detail = reason.getErrorMessage()
            refused = reason.check(ConnectionRefusedError) is not None
            self._result.errback(
                ExchangeError(detail, sent=False, connected=False, refused=refused)
            )


@final
class Http1Pool:
    """Connections to one server; the most recently used one is reused first.

    :param address: ``IP:port`` of the server.
    :param clock: monotonic clock, in seconds.
    :param buffers: memory for response bodies; by default the pool has its own.
    """

    def __init__(
        self,
        reactor: Any,
        address: str,
        clock: Callable[[], float],
        buffers: ResponseBuffers | None = None,
    ) -> None:
        self._reactor = reactor
        self._buffers = ResponseBuffers() if buffers is None else buffers
        self._clock = clock
        host, _, port = address.rpartition(":")
        self._host, self._port = host, int(port)
        self._idle: deque[ClientConnection] = deque()
        self.max_idle_connections = MAX_IDLE_CONNECTIONS
        self._closed = False

    async def exchange(
        self,
        request: HttpRequest,
        connect_timeout_s: float,
        matches: ResponseMatcher = match_any,
        max_idle_s: float = 1e9,
        on_received: Callable[[], None] = do_nothing,
        *,
        reuse: bool = True,
    ) -> HttpResponse:
        """Send a request and wait for the complete response.

        :param connect_timeout_s: timeout of opening a connection.
        :param matches: whether a response is the one to this request.
        :param max_idle_s: connections that were idle for longer are not reused, in
            addition to each connection's own limit.
        :param on_received: called whenever bytes of a response arrive.
        :param reuse: whether the request may go out on a connection that has served
            others.
        :raises ExchangeError: if no complete response arrives.
        """
        connection = self._acquire_idle(max_idle_s) if reuse else None
        if connection is None:
            connection = await self._open(connect_timeout_s)
        return await connection.exchange(request, matches, on_received)

    def close(self) -> None:
        """Close idle connections now, and those in use after their exchange."""
        self._closed = True
        while self._idle:
            self._idle.pop().abort()

    def prune(self) -> None:
        """Close connections whose idle time exceeds their limit."""
        now = self._clock()
        for connection in tuple(self._idle):
            if now - connection.idle_since >= connection.max_idle_s:
                self._idle.remove(connection)
                connection.abort()

    def release(self, connection: ClientConnection) -> None:
        """Return a connection to the pool after its exchange, or close it."""
        if connection.reusable and not self._closed:
            connection.idle_since = self._clock()
            self._idle.append(connection)
            while len(self._idle) > self.max_idle_connections:
                self._idle.popleft().abort()
            return
        if connection in self._idle:
            self._idle.remove(connection)
        if connection.reusable:
            connection.abort()

    def build_connection(self) -> ClientConnection:
        """Build the protocol of a new connection."""
        return ClientConnection(
            self.release, self._buffers, partial(self._reactor.callLater, 0)
        )

    def _acquire_idle(self, max_idle_s: float) -> ClientConnection | None:
        now = self._clock()
        while self._idle:
            connection = self._idle.pop()
            idle_for_s = now - connection.idle_since
            if connection.reusable and idle_for_s < min(
                max_idle_s, connection.max_idle_s
            ):
                connection.idle_s = idle_for_s
                return connection
            connection.abort()
        return None

    def _open(self, connect_timeout_s: float) -> Deferred[ClientConnection]:
        def cancel(result: Deferred[ClientConnection]) -> None:
            # The factory would report the disconnect as a server that is unreachable.
            result.errback(CancelledError())
            connector.disconnect()

        result: Deferred[ClientConnection] = Deferred(cancel)
        connector = self._reactor.connectTCP(
            self._host, self._port, _ConnectionFactory(result, self), connect_timeout_s
        )
        return result
