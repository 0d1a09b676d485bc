"""Customers of one configuration by key, and their routes."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import replace
from enum import Enum
from enum import unique
from typing import final

from sycamorenotch_kernel import Customer
from sycamorenotch_kernel import ForwardingRoute


@final
@unique
class Unidentified(Enum):
    """Why a request cannot be attributed to a customer; the value is for the log."""

    NO_KEY = "the route needs a key and the caller sent none"
    UNKNOWN_KEY = "the caller's key belongs to no customer"
    NO_REGION = "the home regions of the customer and of the route have none in common"


@final
@dataclass(frozen=True, slots=True)
class IdentifiedCaller:
    """Whose request it is, and the route with what applies to that customer.

    :param customer: none on a public route, or if there are no customers.
    :param route: the route with the customer's priority and home regions.
    :param stated_name: name for :meth:`Dialect.encode_attempt`: none if the
        configuration has no customers, empty if the request belongs to none of them.
    """

    customer: Customer | None
    route: ForwardingRoute
    stated_name: str | None


@final
class CustomerIndex:
    """Finds customers by the digests of their keys.

    The result for each pair of route and customer is built once, so that the cost of a
    request does not depend on the number of customers.
    """

    def __init__(self, customers: Iterable[Customer] = ()) -> None:
        self._customers = tuple(customers)
        self._by_digest = {
            digest: customer
            for customer in self._customers
            for digest in customer.key_digests
        }
        # Routes and customers are told apart by identity, as hashing a route visits
        # all its fields. Each entry keeps its route, so that no other gets its id.
        self._results: dict[
            tuple[int, int],
            tuple[ForwardingRoute, IdentifiedCaller | Unidentified],
        ] = {}

    def __len__(self) -> int:
        return len(self._customers)

    def find(self, key_digest: str) -> Customer | None:
        """Return the customer that has the key, if any."""
        return self._by_digest.get(key_digest)

    def identify(
        self, route: ForwardingRoute, key_digest: str
    ) -> IdentifiedCaller | Unidentified:
        """Return whose request it is.

        :param route: route of this configuration that the request matches.
        :param key_digest: digest of the caller's key; empty if it sent none.
        """
        customer = None
        if self._customers and not route.public:
            if not key_digest:
                return Unidentified.NO_KEY
            customer = self._by_digest.get(key_digest)
            if customer is None:
                return Unidentified.UNKNOWN_KEY
        found = self._results.get((id(route), id(customer)))
        if found is None:
            found = (route, self._build_result(route, customer))
            self._results[id(route), id(customer)] = found
        return found[1]

    def _build_result(
        self, route: ForwardingRoute, customer: Customer | None
    ) -> IdentifiedCaller | Unidentified:
        if customer is None:
            return IdentifiedCaller(None, route, "" if self._customers else None)
        homes = common_homes(route.homes, customer.homes)
        if homes is None:
            return Unidentified.NO_REGION
        priority = route.priority if customer.priority is None else customer.priority
        effective = replace(route, priority=priority, homes=homes)
        return IdentifiedCaller(customer, effective, customer.name)


def common_homes(
    first: frozenset[str], second: frozenset[str]
) -> frozenset[str] | None:
    """Return the regions that both allow; an empty set allows every region.

    :return: ``None`` if no region is allowed by both.
    """
    if not first or not second:
        return first or second
    return first & second or None
