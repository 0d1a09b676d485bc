"""A Twisted Web site with a limit on open connections."""

from __future__ import annotations

from typing import Any
from typing import final

from twisted.internet.interfaces import IAddress
from twisted.web.http import HTTPChannel
from twisted.web.resource import IResource
from twisted.web.server import Site


@final
class LimitedSite(Site):
    """Site that closes connections beyond a limit immediately.

    :param connections: maximum number of open connections.
    """

    protocol = HTTPChannel

    def __init__(self, resource: IResource, connections: int) -> None:
        super().__init__(resource)
        self.displayTracebacks = False
        self.connections = connections
        self.refused = 0
        self._open: set[HTTPChannel] = set()

    @property
    def open(self) -> int:
        """Number of open connections."""
        return len(self._open)

    def close_connections(self) -> None:
        """Close every open connection, for a stand-in that ends."""
        for channel in tuple(self._open):
            channel.loseConnection()

    def buildProtocol(self, addr: IAddress | None) -> Any:
        """Accept a connection unless the limit is reached."""
        if self.open >= self.connections:
            self.refused += 1
            return None
        protocol = super().buildProtocol(addr)
        self._open.add(protocol)
        original = protocol.connectionLost

        def connection_lost(*args: Any) -> None:
            self._open.discard(protocol)
            original(*args)

        protocol.connectionLost = connection_lost
        return protocol
