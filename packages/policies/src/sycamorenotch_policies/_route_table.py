"""Route matching by host and prefix, and choice among weighted services."""

from __future__ import annotations

from hashlib import blake2b
from typing import final

from sycamorenotch_kernel import ForwardingConfiguration
from sycamorenotch_kernel import ForwardingRoute
from sycamorenotch_policies.customers import CustomerIndex

HASH_BYTES = 8
HASH_RANGE = float(2 ** (8 * HASH_BYTES))


def hash_to_unit_interval(*parts: str) -> float:
    """Hash texts to a number from 0 (inclusive) to 1 (exclusive)."""
    digest = blake2b("|".join(parts).encode(), digest_size=HASH_BYTES).digest()
    return int.from_bytes(digest, "big") / HASH_RANGE


@final
class RouteTable:
    """The routes of one configuration, by host and longest prefix.

    :ivar customers: the customers of the configuration, by key.
    """

    def __init__(self, configuration: ForwardingConfiguration) -> None:
        self.configuration = configuration
        self.customers = CustomerIndex(configuration.customers)
        self._hosts: dict[str, list[ForwardingRoute]] = {}
        for route in configuration.routes:
            self._hosts.setdefault(route.host.lower(), []).append(route)
        for routes in self._hosts.values():
            routes.sort(key=lambda route: len(route.prefix), reverse=True)

    def match(self, host: str, path: str) -> ForwardingRoute | None:
        """Return the route with the longest prefix of the path, or None.

        :param host: value of the host header; a port is ignored.
        """
        routes = self._hosts.get(host.lower())
        if routes is None:
            routes = self._hosts.get(host.lower().partition(":")[0], [])
        return next((r for r in routes if path.startswith(r.prefix)), None)


def pick_service(route: ForwardingRoute, draw: float) -> str:
    """Return a service of the route, with probability by weight.

    :param draw: uniform random number from 0 (inclusive) to 1 (exclusive).
    """
    total = sum(part.weight for part in route.services)
    remaining = draw * total
    for part in route.services:
        remaining -= part.weight
        if remaining < 0:
            return part.service
    return route.services[-1].service
