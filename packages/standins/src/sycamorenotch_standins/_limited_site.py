"""A Twisted Web site with a limit on open connections."""

from __future__ import annotations

from typing import Any
from typing import final

from twisted.internet.interfaces import IAddress
from twisted.web.resource import IResource
from twisted.web.server import Site


@final
class LimitedSite(Site):
    """Site that closes connections beyond a limit immediately.

    :param connections: maximum number of open connections.
    """

    def __init__(self, resource: IResource, connections: int) -> None:
        super().__init__(resource)
        self.displayTracebacks = False
        self.connections = connections
        self.open = 0
        self.refused = 0

    def buildProtocol(self, addr: IAddress | None) -> Any:
        """Accept a connection unless the limit is reached."""
        if self.open >= self.connections:
            self.refused += 1
            return None
        self.open += 1
        protocol = super().buildProtocol(addr)
        original = protocol.connectionLost

        def connection_lost(*args: Any) -> None:
            self.open -= 1
            original(*args)

        protocol.connectionLost = connection_lost
        return protocol
