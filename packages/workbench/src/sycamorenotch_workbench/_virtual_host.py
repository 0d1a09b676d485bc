"""Fake reactor and TCP sockets of one simulated process.

Protocols run unmodified: each process gets a :class:`VirtualHost` in place of
the reactor.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any
from typing import final

from twisted.internet.address import IPv4Address
from twisted.internet.defer import Deferred
from twisted.internet.defer import succeed
from twisted.internet.error import AlreadyCalled
from twisted.internet.error import AlreadyCancelled
from twisted.internet.error import CannotListenError
from twisted.internet.error import ConnectionRefusedError
from twisted.internet.error import TimeoutError
from twisted.internet.interfaces import IDelayedCall
from twisted.internet.interfaces import IListeningPort
from twisted.internet.interfaces import IReactorPluggableNameResolver
from twisted.internet.interfaces import IReactorTCP
from twisted.internet.interfaces import IReactorTime
from twisted.python.failure import Failure
from zope.interface import implementer

from sycamorenotch_transport import LiteralResolver
from sycamorenotch_workbench._virtual_network import Action
from sycamorenotch_workbench._virtual_network import VirtualNetwork
from sycamorenotch_workbench._virtual_transport import VirtualTransport


@implementer(IDelayedCall)
@final
class VirtualCall:
    """Delayed call of one host; a call due during a pause runs on resume."""

    def __init__(self, host: VirtualHost, function: Action) -> None:
        self._host = host
        self._function = function
        self._done = False
        self._cancelled = False
        self._timer: Any = None

    def schedule(self, delay: float) -> VirtualCall:
        """Schedule the call.

        :param delay: delay in seconds.
        """
        queue = self._host.network.queue
        self._timer = queue.call_later(delay, lambda: self._host.run(self._fire))
        return self

    def _fire(self) -> None:
        if not self._cancelled:
            self._done = True
            self._function()

    def getTime(self) -> float:
        """Return the virtual time at which the call is due, in seconds."""
        return float(self._timer.time)

    def cancel(self) -> None:
        """Cancel the call.

        :raises AlreadyCalled: if the call has run.
        :raises AlreadyCancelled: if the call was cancelled before.
        """
        self._check()
        self._cancelled = True
        if self._timer.active():
            self._timer.cancel()

    def delay(self, secondsLater: float) -> None:
        """Postpone the call by a number of seconds."""
        self.reset(self.getTime() - self._host.seconds() + secondsLater)

    def reset(self, secondsFromNow: float) -> None:
        """Reschedule the call to a number of seconds from now."""
        self._check()
        if self._timer.active():
            self._timer.cancel()
        self.schedule(secondsFromNow)

    def active(self) -> bool:
        """Return whether the call is pending."""
        return not (self._done or self._cancelled)

    def _check(self) -> None:
        if self._cancelled:
            raise AlreadyCancelled()
        if self._done:
            raise AlreadyCalled()


@implementer(IListeningPort)
@final
class VirtualPort:
    """Listening port of a host."""

    def __init__(self, host: VirtualHost, address: str, port: int, factory: Any):
        self.host = host
        self.factory = factory
        self._key = (address, port)

    def startListening(self) -> None:
        """Start to accept connections.

        :raises CannotListenError: if the address is in use.
        """
        if self._key in self.host.network.listeners:
            raise CannotListenError(*self._key, OSError("address in use"))
        self.host.network.listeners[self._key] = self
        self.factory.doStart()

    def stopListening(self) -> Deferred[None]:
        """Stop accepting connections."""
        if self.host.network.listeners.pop(self._key, None) is self:
            self.factory.doStop()
        return succeed(None)

    def getHost(self) -> IPv4Address:
        """Return the address that the port listens on."""
        return IPv4Address("TCP", *self._key)


@final
class VirtualConnector:
    """Connection attempt of a host."""

    def __init__(
        self, host: VirtualHost, destination: IPv4Address, factory: Any, timeout: float
    ) -> None:
        self._host = host
        self._destination = destination
        self._factory = factory
        self._finished = False
        self._transport: VirtualTransport | None = None
        self._timer = host.callLater(timeout, self._expire)

    def connect(self) -> None:
        """Start the attempt."""
        self._factory.doStart()
        self._factory.startedConnecting(self)
        key = (self._destination.host, self._destination.port)
        port = self._host.network.listeners.get(key)
        network = self._host.network
        if port is None:
            # Nothing listens on the address. A refusal takes a round trip, for which
            # the latency of the own location stands in.
            network.send(self._host, self._host, self._refuse)
            return
        network.send(self._host, port.host, lambda: self._accept(key))

    def _accept(self, key: tuple[str, int]) -> None:
        port = self._host.network.listeners.get(key)
        if port is None or port.host.dead:
            self._host.run(self._refuse)
            return
        address = IPv4Address("TCP", self._host.address, self._host.next_port())
        server = VirtualTransport(port.host, self._destination, address)
        client = VirtualTransport(self._host, address, self._destination)
        server.peer, client.peer = client, server
        protocol = port.factory.buildProtocol(address)
        if protocol is None:
            self._host.run(self._refuse)
            return
        # Sent first, so that the client is connected before server data arrives.
        self._host.network.send(port.host, self._host, lambda: self._connected(client))
        server.open(protocol)

    def _connected(self, client: VirtualTransport) -> None:
        if self._finished:
            client.abandon()
            return
        self._finish()
        self._transport = client
        client.connector = self
        client.open(self._factory.buildProtocol(self._destination))

    def _refuse(self) -> None:
        self._fail(ConnectionRefusedError())

    def _expire(self) -> None:
        self._fail(TimeoutError())

    def _fail(self, exc: Exception) -> None:
        if not self._finished:
            self._finish()
            self._factory.clientConnectionFailed(self, Failure(exc))

    def _finish(self) -> None:
        self._finished = True
        if self._timer.active():
            self._timer.cancel()

    def connection_lost(self, reason: Failure) -> None:
        """Notify the factory that the connection was lost."""
        self._factory.clientConnectionLost(self, reason)

    def stopConnecting(self) -> None:
        """Abort the attempt."""
        self._fail(TimeoutError())

    def disconnect(self) -> None:
        """Close the connection or abort the attempt."""
        if self._transport is not None:
            self._transport.loseConnection()
        else:
            self.stopConnecting()

    def getDestination(self) -> IPv4Address:
        """Return the remote address."""
        return self._destination


@implementer(IReactorTime, IReactorTCP, IReactorPluggableNameResolver)
@final
class VirtualHost:
    """Fake reactor of one simulated process.

    :param network: network that connects the hosts.
    :param location: region of the process; latencies and partitions are set
        between locations.
    :param address: source IP address of outgoing connections.
    """

    def __init__(self, network: VirtualNetwork, location: str, address: str) -> None:
        self.network = network
        self.location = location
        self.address = address
        self.dead = False
        self.nameResolver = LiteralResolver()
        self._paused = False
        self._backlog: list[Action] = []
        self._ports: list[VirtualPort] = []
        self._last_port = 40_000
        self.transports: dict[VirtualTransport, None] = {}

    def seconds(self) -> float:
        """Return the virtual time in seconds."""
        return self.network.queue.seconds()

    def callLater(
        self, delay: float, callable: Callable[..., object], *args: Any, **kw: Any
    ) -> VirtualCall:
        """Run a function on this host after a delay in seconds."""
        call = VirtualCall(self, lambda: callable(*args, **kw) and None)
        return call.schedule(delay)

    def getDelayedCalls(self) -> list[Any]:
        """Return an empty list; pending calls are kept in the network's queue."""
        return []

    def installNameResolver(self, resolver: Any) -> Any:
        """Replace the name resolver and return the previous one."""
        old, self.nameResolver = self.nameResolver, resolver
        return old

    def run(self, action: Action) -> None:
        """Run an action; defer it while paused, discard it if the process is dead."""
        if self.dead:
            return
        if self._paused:
            self._backlog.append(action)
            return
        action()

    def pause(self) -> None:
        """Suspend the process; virtual time goes on."""
        self._paused = True

    def resume(self) -> None:
        """Resume the process and run the deferred actions in order."""
        self._paused = False
        backlog, self._backlog = self._backlog, []
        for action in backlog:
            self.run(action)

    def kill(self) -> None:
        """Terminate the process; its peers lose their connections."""
        for port in list(self._ports):
            port.stopListening()
        for transport in list(self.transports):
            transport.abandon()
        self.dead = True

    def next_port(self) -> int:
        """Allocate a source port for an outgoing connection."""
        self._last_port += 1
        return self._last_port

    def listenTCP(
        self, port: int, factory: Any, backlog: int = 50, interface: str = ""
    ) -> VirtualPort:
        """Listen on a TCP address."""
        listening_port = VirtualPort(self, interface, port, factory)
        listening_port.startListening()
        self._ports.append(listening_port)
        return listening_port

    def connectTCP(
        self,
        host: str,
        port: int,
        factory: Any,
        timeout: float = 30,
        bindAddress: tuple[str, int] | None = None,
    ) -> VirtualConnector:
        """Connect to a TCP address.

        :param timeout: connection timeout in seconds.
        """
        destination = IPv4Address("TCP", host, port)
        connector = VirtualConnector(self, destination, factory, timeout)
        connector.connect()
        return connector
