"""One end of a simulated TCP connection."""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING
from typing import Any
from typing import final

from twisted.internet.address import IPv4Address
from twisted.internet.error import ConnectionAborted
from twisted.internet.error import ConnectionDone
from twisted.internet.error import ConnectionLost
from twisted.internet.interfaces import IPushProducer
from twisted.internet.interfaces import ITCPTransport
from twisted.python import log
from twisted.python.failure import Failure
from zope.interface import implementer

if TYPE_CHECKING:
    from sycamorenotch_workbench._virtual_host import VirtualConnector
    from sycamorenotch_workbench._virtual_host import VirtualHost


@implementer(ITCPTransport, IPushProducer)
@final
class VirtualTransport:
    """Transport of one end of a simulated TCP connection.

    :param host: process that owns this end.
    :param local: address of this end.
    :param remote: address of the other end.
    """

    def __init__(
        self, host: VirtualHost, local: IPv4Address, remote: IPv4Address
    ) -> None:
        self.host = host
        self.peer: VirtualTransport | None = None
        self.connector: VirtualConnector | None = None
        self.protocol: Any = None
        self.connected = False
        self.disconnecting = False
        self._local = local
        self._remote = remote
        self._producer: Any = None
        self._reading = True
        self._received: list[bytes] = []
        self._peer_close_reason: Failure | None = None

    def open(self, protocol: Any) -> None:
        """Connect the protocol of this end."""
        self.protocol = protocol
        self.connected = True
        self.host.transports[self] = None
        protocol.makeConnection(self)

    def write(self, data: bytes) -> None:
        """Send data to the other end."""
        peer = self.peer
        if self.connected and not self.disconnecting and data and peer is not None:
            copy = bytes(data)
            self.host.network.send(self.host, peer.host, lambda: peer.deliver(copy))

    def writeSequence(self, iovec: Iterable[bytes]) -> None:
        """Send the concatenation of several buffers."""
        self.write(b"".join(iovec))

    def deliver(self, data: bytes) -> None:
        """Pass received data to the protocol, or buffer it while reading is paused."""
        if not self.connected:
            return
        self._received.append(data)
        self._process_received()

    def _process_received(self) -> None:
        while self._reading and self._received and self.connected:
            data = self._received.pop(0)
            try:
                self.protocol.dataReceived(data)
            except Exception:
                log.err()
                self._connection_lost(Failure())
        if self._peer_close_reason is not None and not self._received:
            self._connection_lost(self._peer_close_reason)

    def loseConnection(self, _connDone: Any = None) -> None:
        """Close the connection once the registered producer has finished."""
        if self.connected and not self.disconnecting:
            self.disconnecting = True
            if self._producer is None:
                self._close()

    def _close(self) -> None:
        self._close_peer(Failure(ConnectionDone()))
        self.host.callLater(0, self._connection_lost, Failure(ConnectionDone()))

    def abortConnection(self) -> None:
        """Close the connection immediately."""
        if self.connected:
            self.disconnecting = True
            self._close_peer(Failure(ConnectionLost()))
            self.host.callLater(0, self._connection_lost, Failure(ConnectionAborted()))

    def abandon(self) -> None:
        """Close only the other end.

        Used when this process is killed or the attempt to connect has ended.
        """
        self._close_peer(Failure(ConnectionLost()))
        self.connected = False

    def _close_peer(self, reason: Failure) -> None:
        peer = self.peer
        if peer is not None:
            self.host.network.send(
                self.host, peer.host, lambda: peer.peer_closed(reason)
            )

    def peer_closed(self, reason: Failure) -> None:
        """Handle a close by the other end."""
        if not self.connected:
            return
        self._peer_close_reason = reason
        if reason.check(ConnectionLost) or not self._received:
            self._connection_lost(reason)

    def _connection_lost(self, reason: Failure) -> None:
        if not self.connected:
            return
        self.connected = False
        self.disconnecting = True
        self.host.transports.pop(self, None)
        if self._peer_close_reason is None:
            self._close_peer(Failure(ConnectionLost()))
        if self._producer is not None:
            self._producer.stopProducing()
            self._producer = None
        self.protocol.connectionLost(reason)
        if self.connector is not None:
            self.connector.connection_lost(reason)

    def registerProducer(self, producer: Any, streaming: bool) -> None:
        """Register a producer; it is never paused, as writes do not block."""
        self._producer = producer
        while not streaming and self._producer is producer:
            producer.resumeProducing()

    def unregisterProducer(self) -> None:
        """Unregister the producer and complete a pending close."""
        self._producer = None
        if self.disconnecting and self.connected:
            self._close()

    def pauseProducing(self) -> None:
        """Pause reading; received data is buffered."""
        self._reading = False

    def resumeProducing(self) -> None:
        """Resume reading."""
        self._reading = True
        self.host.callLater(0, self._process_received)

    def stopProducing(self) -> None:
        """Close the connection."""
        self.loseConnection()

    def getPeer(self) -> IPv4Address:
        """Return the address of the other end."""
        return self._remote

    def getHost(self) -> IPv4Address:
        """Return the address of this end."""
        return self._local

    def getTcpNoDelay(self) -> bool:
        """Return True; the option is not simulated."""
        return True

    def setTcpNoDelay(self, enabled: bool) -> None:
        """Ignore the option; it is not simulated."""

    def getTcpKeepAlive(self) -> bool:
        """Return True; the option is not simulated."""
        return True

    def setTcpKeepAlive(self, enabled: bool) -> None:
        """Ignore the option; it is not simulated."""

    def loseWriteConnection(self) -> None:
        """Close the connection."""
        self.loseConnection()
