"""A loopback proxy that delays, resets, cuts and silences connections."""

from __future__ import annotations

from typing import Any

from twisted.internet import reactor
from twisted.internet.protocol import ClientFactory
from twisted.internet.protocol import Factory
from twisted.internet.protocol import Protocol

# ``deaf`` drops what the server sends, ``mute`` what the client sends.
MODES = ("delay", "reset", "silence", "deaf", "mute")
DELAY_S = 0.2


class _Side(Protocol):
    """One side of a connection through the proxy."""

    def __init__(self, proxy: Proxy, mode: str) -> None:
        self._proxy = proxy
        self._dropped_in = mode
        self.other: _Side | None = None
        self._early: list[bytes] = []

    def connectionMade(self) -> None:
        self._proxy.sides.add(self)

    def dataReceived(self, data: bytes) -> None:
        if self.other is None:
            self._early.append(data)
            return
        mode = self._proxy.mode
        if mode in ("silence", self._dropped_in):
            return
        if mode == "delay":
            reactor.callLater(DELAY_S, self._send, data)
        else:
            self._send(data)

    def join(self, other: _Side) -> None:
        self.other = other
        early, self._early = self._early, []
        for data in early:
            self.dataReceived(data)

    def _send(self, data: bytes) -> None:
        if self.other is not None and self.other.transport is not None:
            self.other.transport.write(data)

    def connectionLost(self, reason: Any = None) -> None:
        self._proxy.sides.discard(self)
        other, self.other = self.other, None
        if other is not None and other.transport is not None:
            other.transport.loseConnection()


class _Onward(ClientFactory):
    noisy = False

    def __init__(self, near: _Side, proxy: Proxy) -> None:
        self._near = near
        self._proxy = proxy

    def buildProtocol(self, addr: Any) -> _Side:
        far = _Side(self._proxy, "deaf")
        far.join(self._near)
        made = far.connectionMade

        def connection_made() -> None:
            made()
            self._near.join(far)

        far.connectionMade = connection_made  # type: ignore[method-assign]
        return far

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:
        self._near.transport.abortConnection()


class Proxy(Factory):
    """Passes connections on to an address, with faults as they are set."""

    noisy = False

    def __init__(self, target: str) -> None:
        self.mode = ""
        self.sides: set[_Side] = set()
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self._port = reactor.listenTCP(0, self, interface="127.0.0.1")

    @property
    def address(self) -> str:
        place = self._port.getHost()
        return f"{place.host}:{place.port}"

    def set_mode(self, mode: str) -> None:
        self.mode = mode
        if mode == "reset":
            for side in tuple(self.sides):
                side.transport.abortConnection()

    def buildProtocol(self, addr: Any) -> _Side:
        near = _Side(self, "mute")
        host, port = self._target
        reactor.connectTCP(host, port, _Onward(near, self))
        return near
