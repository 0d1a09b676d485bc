"""A web site that accepts a limited number of connections."""

from __future__ import annotations

from typing import Any
from typing import final

from twisted.internet.interfaces import IAddress
from twisted.web.resource import IResource
from twisted.web.server import Site


@final
class LimitedSite(Site):
    """Closes each connection beyond a limit at once.

    :param connections: open connections that are accepted.
    """

    def __init__(self, resource: IResource, connections: int) -> None:
        super().__init__(resource)
        self.displayTracebacks = False
        self.connections = connections
        self.open = 0
        self.refused = 0

    def buildProtocol(self, addr: IAddress | None) -> Any:
        """Accept a connection, unless too many are open."""
        if self.open >= self.connections:
            self.refused += 1
            return None
        self.open += 1
        protocol = super().buildProtocol(addr)
        lost = protocol.connectionLost

        def connection_lost(*args: Any) -> None:
            self.open -= 1
            lost(*args)

        protocol.connectionLost = connection_lost
        return protocol
