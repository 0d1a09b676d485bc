"""Opens connections to upstream workers within their budgets."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta
from typing import Any
from typing import final

from twisted.internet.defer import CancelledError
from twisted.internet.defer import Deferred
from twisted.internet.endpoints import HostnameEndpoint
from twisted.internet.error import ConnectingCancelledError
from twisted.internet.interfaces import IProtocol
from twisted.internet.interfaces import IProtocolFactory
from twisted.internet.interfaces import IStreamClientEndpoint
from twisted.internet.task import deferLater
from twisted.web.client import URI
from twisted.web.iweb import IAgentEndpointFactory
from zope.interface import implementer

from sycamorenotch_policies import ConnectionBudget

CONNECT_TIMEOUT_S = 2


class ConnectionRefusedByBudgetError(Exception):
    """The connection budget of the worker is exhausted."""


@implementer(IAgentEndpointFactory)
@final
class BudgetedEndpoints:
    """Creates the endpoints that an agent connects to.

    :param budget_for: returns the connection budget of an address.
    """

    def __init__(
        self, reactor: Any, budget_for: Callable[[str], ConnectionBudget | None]
    ) -> None:
        self._reactor = reactor
        self._budget_for = budget_for

    def endpointForURI(self, uri: URI) -> IStreamClientEndpoint:
        """Return the endpoint of a worker."""
        host, port = uri.host.decode("ascii"), uri.port
        endpoint = HostnameEndpoint(self._reactor, host, port, CONNECT_TIMEOUT_S)
        budget = self._budget_for(f"{host}:{port}")
        if budget is None:
            return endpoint
        return _BudgetedEndpoint(self._reactor, endpoint, budget)


@implementer(IStreamClientEndpoint)
@final
class _BudgetedEndpoint:
    def __init__(
        self, reactor: Any, endpoint: HostnameEndpoint, budget: ConnectionBudget
    ) -> None:
        self._reactor = reactor
        self._endpoint = endpoint
        self._budget = budget

    def connect(self, protocolFactory: IProtocolFactory) -> Deferred[IProtocol]:
        """Connect as soon as the budget allows another connection attempt.

        :raises ConnectionRefusedByBudgetError: if the budget is exhausted.
        """
        return Deferred.fromCoroutine(self._connect(protocolFactory))

    async def _connect(self, factory: IProtocolFactory) -> IProtocol:
        delay = self._budget.reserve(_now(self._reactor))
        if delay is None:
            raise ConnectionRefusedByBudgetError("the connection budget is exhausted")
        try:
            if delay:
                await deferLater(self._reactor, delay.total_seconds())
            protocol = await self._endpoint.connect(factory)
        except CancelledError as exc:
            # This error tells the client that no byte of a request was sent.
            self._budget.release()
            raise ConnectingCancelledError(None) from exc
        except Exception:
            self._budget.release()
            raise
        _call_on_connection_lost(protocol, self._budget.release)
        return protocol


def _now(reactor: Any) -> timedelta:
    return timedelta(seconds=reactor.seconds())


def _call_on_connection_lost(protocol: Any, function: Callable[[], None]) -> None:
    """Call a function when a protocol loses its connection.

    The protocol belongs to a library and has no hook for this.
    """
    wrapped = protocol.connectionLost

    def connection_lost(*args: Any) -> None:
        function()
        wrapped(*args)

    protocol.connectionLost = connection_lost
