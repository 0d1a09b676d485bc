"""A loopback TCP proxy that delays, resets, drops or slows the data of connections."""

from __future__ import annotations

from typing import Any

from twisted.internet import reactor
from twisted.internet.protocol import ClientFactory
from twisted.internet.protocol import Factory
from twisted.internet.protocol import Protocol

# ``delay`` delays all data by ``DELAY_S``. ``silence`` drops data both ways, ``deaf``
# only the server's, ``mute`` only the client's. ``reset`` resets the open connections
# once.
MODES = ("delay", "reset", "silence", "deaf", "mute")
DELAY_S = 0.2
# Size in which data passes a link of limited bandwidth.
PACKET_BYTES = 1_460


class _Side(Protocol):
    """One side of a connection through the proxy."""

    def __init__(self, proxy: Proxy, mode: str) -> None:
        self._proxy = proxy
        self._drop_mode = mode
        self.other: _Side | None = None
        self._buffered: list[bytes] = []

    def connectionMade(self) -> None:
        self._proxy.sides.add(self)

    def dataReceived(self, data: bytes) -> None:
        if self.other is None:
            self._buffered.append(data)
            return
        mode = self._proxy.mode
        if mode in ("silence", self._drop_mode):
            return
        delay_s = DELAY_S if mode == "delay" else 0.0
        if self._drop_mode != "deaf":
            self._send_after(delay_s, data)
            return
        for piece in self._proxy.split(data):
            self._send_after(delay_s + self._proxy.reserve_link(len(piece)), piece)

    def join(self, other: _Side) -> None:
        self.other = other
        buffered, self._buffered = self._buffered, []
        for data in buffered:
            self.dataReceived(data)

    def _send_after(self, delay_s: float, data: bytes) -> None:
        if delay_s:
            reactor.callLater(delay_s, self._send, data)
        else:
            self._send(data)

    def _send(self, data: bytes) -> None:
        if self.other is not None and self.other.transport is not None:
            self.other.transport.write(data)

    def connectionLost(self, reason: Any = None) -> None:
        self._proxy.sides.discard(self)
        other, self.other = self.other, None
        if other is not None and other.transport is not None:
            other.transport.loseConnection()


class _TargetFactory(ClientFactory):
    noisy = False

    def __init__(self, client_side: _Side, proxy: Proxy) -> None:
        self._client_side = client_side
        self._proxy = proxy

    def buildProtocol(self, addr: Any) -> _Side:
        server_side = _Side(self._proxy, "deaf")
        server_side.join(self._client_side)
        original = server_side.connectionMade

        def connection_made() -> None:
            original()
            self._client_side.join(server_side)

        server_side.connectionMade = connection_made  # type: ignore[method-assign]
        return server_side

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:
        self._client_side.transport.abortConnection()


class Proxy(Factory):
    """Forwards connections to an address, with the faults of the mode that is set.

    :param link_bytes_per_s: bandwidth that all data of the server share; no limit if
        none is given.
    """

    noisy = False

    def __init__(self, target: str, link_bytes_per_s: float | None = None) -> None:
        self.mode = ""
        self.link_bytes_per_s = link_bytes_per_s
        self._link_free_at = 0.0
        self.sent_bytes = 0
        self.sides: set[_Side] = set()
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self._port = reactor.listenTCP(0, self, interface="127.0.0.1")

    @property
    def address(self) -> str:
        endpoint = self._port.getHost()
        return f"{endpoint.host}:{endpoint.port}"

    async def stop(self) -> None:
        """Stop listening, and close all connections."""
        await self._port.stopListening()
        for side in tuple(self.sides):
            side.transport.abortConnection()

    def split(self, data: bytes) -> list[bytes]:
        """Return data as it passes the link; without a limit, in one piece."""
        if self.link_bytes_per_s is None:
            return [data]
        return [data[n : n + PACKET_BYTES] for n in range(0, len(data), PACKET_BYTES)]

    def reserve_link(self, size: int) -> float:
        """Queue data of the server; return when they have passed, in seconds."""
        self.sent_bytes += size
        if self.link_bytes_per_s is None:
            return 0.0
        now = reactor.seconds()
        start_at = max(now, self._link_free_at)
        self._link_free_at = start_at + size / self.link_bytes_per_s
        return self._link_free_at - now

    def set_mode(self, mode: str) -> None:
        self.mode = mode
        if mode == "reset":
            for side in tuple(self.sides):
                side.transport.abortConnection()

    def buildProtocol(self, addr: Any) -> _Side:
        client_side = _Side(self, "mute")
        host, port = self._target
        reactor.connectTCP(host, port, _TargetFactory(client_side, self))
        return client_side
