"""One end of a virtual connection."""

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
    """Delivers data to the protocol at the other end of a connection.

    :param host: the process that this end belongs to.
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
        self._inbox: list[bytes] = []
        self._remote_end: Failure | None = None

    def open(self, protocol: Any) -> None:
        """Attach the protocol of this end."""
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
        """Send several pieces of data."""
        self.write(b"".join(iovec))

    def deliver(self, data: bytes) -> None:
        """Hand received data to the protocol, unless reading is paused."""
        if not self.connected:
            return
        self._inbox.append(data)
        self._drain()

    def _drain(self) -> None:
        while self._reading and self._inbox and self.connected:
            data = self._inbox.pop(0)
            try:
                self.protocol.dataReceived(data)
            except Exception:
                log.err()
                self._lose(Failure())
        if self._remote_end is not None and not self._inbox:
            self._lose(self._remote_end)

    def loseConnection(self, _connDone: Any = None) -> None:
        """Close the connection after what was written."""
        if self.connected and not self.disconnecting:
            self.disconnecting = True
            if self._producer is None:
                self._close()

    def _close(self) -> None:
        self._end_peer(Failure(ConnectionDone()))
        self.host.callLater(0, self._lose, Failure(ConnectionDone()))

    def abortConnection(self) -> None:
        """Close the connection at once."""
        if self.connected:
            self.disconnecting = True
            self._end_peer(Failure(ConnectionLost()))
            self.host.callLater(0, self._lose, Failure(ConnectionAborted()))

    def abandon(self) -> None:
        """Close the other end only, because this process is gone."""
        self._end_peer(Failure(ConnectionLost()))
        self.connected = False

    def _end_peer(self, reason: Failure) -> None:
        peer = self.peer
        if peer is not None:
            self.host.network.send(self.host, peer.host, lambda: peer.end(reason))

    def end(self, reason: Failure) -> None:
        """Handle the end of the connection at the other side."""
        if not self.connected:
            return
        self._remote_end = reason
        if reason.check(ConnectionLost) or not self._inbox:
            self._lose(reason)

    def _lose(self, reason: Failure) -> None:
        if not self.connected:
            return
        self.connected = False
        self.disconnecting = True
        self.host.transports.pop(self, None)
        if self._remote_end is None:
            self._end_peer(Failure(ConnectionLost()))
        if self._producer is not None:
            self._producer.stopProducing()
            self._producer = None
        self.protocol.connectionLost(reason)
        if self.connector is not None:
            self.connector.closed(reason)

    def registerProducer(self, producer: Any, streaming: bool) -> None:
        """Let a producer write; data is never held back."""
        self._producer = producer
        while not streaming and self._producer is producer:
            producer.resumeProducing()

    def unregisterProducer(self) -> None:
        """Forget the producer and close if that was asked for."""
        self._producer = None
        if self.disconnecting and self.connected:
            self._close()

    def pauseProducing(self) -> None:
        """Hold received data."""
        self._reading = False

    def resumeProducing(self) -> None:
        """Go on with received data."""
        self._reading = True
        self.host.callLater(0, self._drain)

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
        """Return true."""
        return True

    def setTcpNoDelay(self, enabled: bool) -> None:
        """Do nothing."""

    def getTcpKeepAlive(self) -> bool:
        """Return true."""
        return True

    def setTcpKeepAlive(self, enabled: bool) -> None:
        """Do nothing."""

    def loseWriteConnection(self) -> None:
        """Close the connection."""
        self.loseConnection()
