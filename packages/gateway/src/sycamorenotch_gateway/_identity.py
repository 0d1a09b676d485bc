"""Identifies the customer of each request, and refuses those without a valid key."""

from __future__ import annotations

from typing import ClassVar
from typing import final

from sycamorenotch_gateway._key_age import KeyAge
from sycamorenotch_gateway._node import GatewayNode
from sycamorenotch_gateway._routes import Routes
from sycamorenotch_kernel import ErrorKind
from sycamorenotch_kernel import ForwardingRoute
from sycamorenotch_kernel import Ran
from sycamorenotch_kernel import Refusal
from sycamorenotch_kernel import gateway_components
from sycamorenotch_policies import RouteTable
from sycamorenotch_policies.customers import IdentifiedCaller
from sycamorenotch_policies.customers import Unidentified

# Retry-After of a refusal because of the age: by then the store may have answered.
AGE_RETRY_AFTER_S = 1.0
# Retry-After if no region is allowed: only a new configuration changes that.
NO_REGION_RETRY_AFTER_S = 3.0


@gateway_components.register("identity")
@final
class Identity:
    """Admits the requests of known callers and of public routes."""

    after: ClassVar[tuple[str, ...]] = ("routes", "key-age")

    def __init__(self, node: GatewayNode) -> None:
        self._routes = node.require(Routes)
        self._key_age = node.require(KeyAge)
        self._unauthorized = 0
        node.provide(Identity, self)

    def start(self) -> None:
        """Do nothing; the forwarder calls :meth:`admit`."""

    async def stop(self) -> None:
        """Do nothing."""

    @property
    def refused(self) -> dict[str, int]:
        """Requests refused so far, by reason."""
        return {"unauthorized": self._unauthorized, "age": self._key_age.refused}

    def admit(
        self, table: RouteTable, route: ForwardingRoute, key_digest: str
    ) -> IdentifiedCaller | Refusal:
        """Return whose request it is and its effective route, or why it is refused.

        :param table: the configuration in force.
        :param route: route of the table that the request matches.
        :param key_digest: digest of the caller's key; empty if it sent none.
        """
        found = table.customers.identify(route, key_digest)
        if isinstance(found, Unidentified):
            return self._refuse(found)
        if found.customer is not None and not self._key_age.allows_keys():
            self._key_age.refused += 1
            detail = "the configuration may be older than a revocation may take"
            return Refusal(ErrorKind.NOT_READY, Ran.NO, detail, AGE_RETRY_AFTER_S)
        return found

    def still_admits(self, caller: IdentifiedCaller, key_digest: str) -> bool:
        """Whether the request may have another attempt under the newest configuration.

        :param caller: result of :meth:`admit` for the request.
        """
        table = self._routes.table
        if table is None:
            return False
        if caller.customer is None:
            # Without customers, the key would pass to a worker.
            return caller.stated_name is not None or not len(table.customers)
        found = table.customers.find(key_digest)
        same = found is not None and found.name == caller.customer.name
        return same and self._key_age.allows_keys()

    def _refuse(self, reason: Unidentified) -> Refusal:
        if reason is Unidentified.NO_REGION:
            return Refusal(
                ErrorKind.NO_UPSTREAM, Ran.NO, reason.value, NO_REGION_RETRY_AFTER_S
            )
        self._unauthorized += 1
        return Refusal(ErrorKind.UNAUTHORIZED, Ran.NO, reason.value)
