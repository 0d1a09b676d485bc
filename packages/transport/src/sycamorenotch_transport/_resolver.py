"""Resolver for IP address literals."""

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
        """Do nothing; the resolution is already complete."""


@implementer(IHostnameResolver)
@final
class LiteralResolver:
    """Resolves IP address literals only, without threads.

    Processes address each other by IP address. The default resolver of the
    reactor would start a thread pool.
    """

    def resolveHostName(
        self,
        resolutionReceiver: IResolutionReceiver,
        hostName: str,
        portNumber: int = 0,
        addressTypes: Sequence[type[IAddress]] | None = None,
        transportSemantics: str = "TCP",
    ) -> IHostResolution:
        """Report the address of a literal, or no address for any other name."""
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
