"""Opens a connection to see whether anything listens at an address."""

from __future__ import annotations

from typing import Any
from typing import final

from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionRefusedError
from twisted.internet.protocol import ClientFactory
from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure


@final
class _Probe(Protocol):
    def __init__(self, result: Deferred[bool | None]) -> None:
        self._result = result

    def connectionMade(self) -> None:
        """Report the connection and close it."""
        self.transport.abortConnection()
        if not self._result.called:
            self._result.callback(True)


@final
class _ProbeFactory(ClientFactory):
    noisy = False

    def __init__(self, result: Deferred[bool | None]) -> None:
        self._result = result

    def buildProtocol(self, addr: Any) -> Protocol:
        """Build the protocol of the connection."""
        return _Probe(self._result)

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        """Report whether the connection was refused."""
        if not self._result.called:
            refused = reason.check(ConnectionRefusedError) is not None
            self._result.callback(False if refused else None)


def probe_address(
    reactor: Any, address: str, timeout_s: float
) -> Deferred[bool | None]:
    """Open a connection and close it at once.

    :param address: ``IP:port`` of the server.
    :param timeout_s: timeout of opening the connection, in seconds.
    :return: fires with true if it was accepted, false if it was refused, and ``None``
        if nothing answered.
    """
    result: Deferred[bool | None] = Deferred()
    host, _, port = address.rpartition(":")
    reactor.connectTCP(host, int(port), _ProbeFactory(result), timeout_s)
    return result
