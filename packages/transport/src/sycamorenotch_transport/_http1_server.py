"""HTTP/1.1 server that preserves headers and cancels work for lost clients."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any
from typing import final

from twisted.internet.defer import Deferred
from twisted.internet.protocol import Factory

from sycamorenotch_transport._client_account import AheadWindow
from sycamorenotch_transport._client_account import ClientAccount
from sycamorenotch_transport._client_account import UnlimitedAccount
from sycamorenotch_transport._client_account import UnlimitedWindow
from sycamorenotch_transport._http1_connection import ServerConnection
from sycamorenotch_transport._http1_messages import HttpLimits
from sycamorenotch_transport._http1_messages import HttpRequest
from sycamorenotch_transport._http1_messages import HttpResponse
from sycamorenotch_transport._http1_unread import UnreadWatch
from sycamorenotch_transport._turn_schedule import TurnSchedule

# Connections that the listener accepts in one turn of the loop. Twisted would raise
# this without bound, and adds at most 20 now. Those that are closed in exchange for
# them keep their descriptors until the next turn.
ACCEPTS_PER_TURN = 32

Handler = Callable[[HttpRequest], Awaitable[HttpResponse]]
BuildErrorResponse = Callable[[int, str], HttpResponse]
Report = Callable[[str], None]


def ignore_eviction(reason: str) -> None:
    """Ignore that a client was closed or refused."""


@final
class Http1Server(Factory):
    """Server that passes the requests on one address to a handler.

    :param handler: returns the response to a request; cancelled when the client
        disconnects.
    :param build_error: builds the response to a request that is malformed, exceeds
        a limit, or whose handler raised.
    :param report: receives a message for each of these requests.
    :param http_limits: limits on the clients; by default those of ``HttpLimits``.
    :param account: memory of the clients; by default it is not bounded.
    :param on_eviction: receives the reason when a client is closed, or its request
        refused, because of what clients use.
    :param schedule: turns in which clients are parsed, shared with other servers; by
        default all clients are parsed in every turn.
    :param build_window: builds the window of one connection from the maximum number of
        its requests; by default clients that send far ahead are not held back.
    """

    noisy = False

    def __init__(
        self,
        reactor: Any,
        handler: Handler,
        build_error: BuildErrorResponse,
        report: Report,
        http_limits: HttpLimits | None = None,
        account: ClientAccount | None = None,
        on_eviction: Callable[[str], None] = ignore_eviction,
        schedule: TurnSchedule | None = None,
        build_window: Callable[[int], AheadWindow] = UnlimitedWindow,
    ) -> None:
        self._reactor = reactor
        self.handler = handler
        self.build_error = build_error
        self.report = report
        self.http_limits = HttpLimits() if http_limits is None else http_limits
        self.account = UnlimitedAccount() if account is None else account
        self.on_eviction = on_eviction
        self.build_window = build_window
        self.schedule = TurnSchedule(reactor) if schedule is None else schedule
        self.unread = UnreadWatch(reactor, lambda: self.http_limits.unread_timeout_s)
        self.connections: set[ServerConnection] = set()
        self.total_body_bytes = 0
        self.draining = False
        self._port: Any = None
        self._drained: Deferred[None] | None = None

    def listen(self, address: str, backlog: int) -> None:
        """Accept connections on ``IP:port``.

        :param backlog: length of the queue of connections that are not yet accepted.
        :raises twisted.internet.error.CannotListenError: if the port is in use.
        """
        host, _, port = address.rpartition(":")
        self._port = self._reactor.listenTCP(int(port), self, backlog, host)
        self._port.numberAccepts = ACCEPTS_PER_TURN

    @property
    def address(self) -> str:
        """``IP:port`` that the server listens on."""
        host_address = self._port.getHost()
        return f"{host_address.host}:{host_address.port}"

    def buildProtocol(self, addr: Any) -> ServerConnection:
        """Build the protocol of one connection."""
        if self._port is not None:
            self._port.numberAccepts = ACCEPTS_PER_TURN
        return ServerConnection(self)

    async def stop(self, timeout_s: float) -> int:
        """Stop listening, close idle connections and wait for the others.

        :param timeout_s: maximum time to wait for requests in progress.
        :return: number of connections that were still open after the timeout.
        """
        self.draining = True
        if self._port is not None:
            await self._port.stopListening()
        for connection in tuple(self.connections):
            if connection.idle:
                connection.close()
        if self.connections and timeout_s > 0:
            self._drained = Deferred()
            self._drained.addTimeout(timeout_s, self._reactor, lambda result, _: None)
            await self._drained
        unfinished = len(self.connections)
        for connection in tuple(self.connections):
            connection.close()
        return unfinished

    def on_connection_lost(self) -> None:
        """Complete ``stop`` if this was the last connection."""
        if not self.connections and self._drained is not None:
            drained, self._drained = self._drained, None
            if not drained.called:
                drained.callback(None)

    def call_later(self, delay_s: float, function: Callable[[], None]) -> Any:
        """Schedule a function after a delay and return its timer."""
        return self._reactor.callLater(delay_s, function)
