"""Name resolution that accepts IP numbers only."""

from __future__ import annotations

from collections.abc import Sequence
from ipaddress import ip_address
from typing import Any
from typing import final

from twisted.internet.address import IPv4Address
from twisted.internet.address import IPv6Address
from twisted.internet.interfaces import IAddress
from twisted.internet.interfaces import IHostnameResolver
from twisted.internet.interfaces import IHostResolution
from twisted.internet.interfaces import IResolutionReceiver
from zope.interface import implementer


@implementer(IHostResolution)
@final
class _Resolution:
    def __init__(self, name: str) -> None:
        self.name = name

    def cancel(self) -> None:
        """Do nothing; the resolution is complete when it is returned."""


@implementer(IHostnameResolver)
@final
class LiteralResolver:
    """Resolves IP numbers without a thread and finds no other names.

    Processes reach each other by IP number, while the default resolver of the
    reactor starts a pool of threads.
    """

    def resolveHostName(
        self,
        resolutionReceiver: IResolutionReceiver,
        hostName: str,
        portNumber: int = 0,
        addressTypes: Sequence[type[IAddress]] | None = None,
        transportSemantics: str = "TCP",
    ) -> IHostResolution:
        """Hand the address of an IP number to the receiver."""
        resolution = _Resolution(hostName)
        resolutionReceiver.resolutionBegan(resolution)
        try:
            version = ip_address(hostName).version
        except ValueError:
            version = 0
        if version == 4:
            found = IPv4Address(transportSemantics, hostName, portNumber)
            resolutionReceiver.addressResolved(found)
        elif version == 6:
            found = IPv6Address(transportSemantics, hostName, portNumber)
            resolutionReceiver.addressResolved(found)
        resolutionReceiver.resolutionComplete()
        return resolution


def install_literal_resolver(reactor: Any) -> None:
    """Replace the reactor's name resolver; the call is idempotent."""
    reactor.installNameResolver(LiteralResolver())
