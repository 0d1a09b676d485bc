"""Frozen data classes of a validated environment document."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from datetime import timedelta
from enum import IntEnum
from enum import unique
from ipaddress import IPv4Network
from ipaddress import IPv6Network
from typing import final

IPNetwork = IPv4Network | IPv6Network


@final
@unique
class Rank(IntEnum):
    """Importance of a request; a lower value is served first."""

    URGENT = 0
    STANDARD = 1
    DEFERRABLE = 2

    @property
    def label(self) -> str:
        """Name in documents and messages."""
        return self.name.lower()


@final
@dataclass(frozen=True, slots=True)
class RankPolicy:
    """Worth and protection of one rank.

    :param worth: value of one answer in time, in arbitrary units.
    :param floor: share of every capacity, from 0 to 1, that a flood of other
        ranks cannot take.
    :param deadline: time limit of a request that states none.
    """

    rank: Rank
    worth: float
    floor: float
    deadline: timedelta


@final
@dataclass(frozen=True, slots=True)
class ShiftPolicy:
    """How much traffic may move at once.

    :param cap: share of a service's traffic, from 0 to 1, that may move to
        other regions in any window.
    :param window: length of the sliding window.
    """

    cap: float
    window: timedelta


@final
@dataclass(frozen=True, slots=True)
class Bounds:
    """Time bounds that operators state.

    :param answer_lifetime: how long callers may cache a look-up answer.
    :param leaving: latest time at which a leaving upstream gets new work.
    :param drain: longest time that a graceful stop may take.
    :param claim_lifetime: how long an idempotency key is remembered.
    :param stale_after: age at which a measurement has lost all weight.
    :param cold_start: time over which a new upstream is ramped up.
    """

    answer_lifetime: timedelta
    leaving: timedelta
    drain: timedelta
    claim_lifetime: timedelta
    stale_after: timedelta
    cold_start: timedelta


@final
@dataclass(frozen=True, slots=True)
class Region:
    """A region and its data centres.

    :param client_latency: one-way latency to the region's own clients.
    :param internal_latency: one-way latency between its data centres.
    """

    name: str
    data_centres: tuple[str, ...]
    client_latency: timedelta
    internal_latency: timedelta
    client_blocks: tuple[IPNetwork, ...] = ()


@final
@dataclass(frozen=True, slots=True)
class Link:
    """One direction of a link between two regions.

    :param latency: one-way latency.
    :param budget: bits per second for all traffic in this direction.
    """

    source: str
    target: str
    latency: timedelta
    budget: int


@final
@dataclass(frozen=True, slots=True)
class Worker:
    """An upstream worker.

    :param address: ``IP:port`` of the worker.
    :param slots: requests that it runs at once.
    :param connections: connections that it accepts from all instances.
    :param connection_cost: its processor time for a new connection.
    """

    name: str
    service: str
    region: str
    data_centre: str
    address: str
    slots: int
    connections: int
    connection_cost: timedelta


@final
@dataclass(frozen=True, slots=True)
class Service:
    """A service that callers can look up.

    :param service_time: usual time of one request in a slot.
    :param answer_size: usual size of one answer, in bytes.
    """

    name: str
    service_time: timedelta
    answer_size: int


@final
@dataclass(frozen=True, slots=True)
class Route:
    """A path prefix of a service.

    :param idempotent: whether a request may run more than once.
    :param methods: accepted HTTP methods.
    """

    name: str
    service: str
    prefix: str
    methods: frozenset[str]
    rank: Rank
    idempotent: bool


@final
@dataclass(frozen=True, slots=True)
class Objective:
    """A service-level objective.

    :param availability: share of requests, from 0 to 1, answered without error.
    :param latency: time limit of a good answer.
    :param latency_share: share of answers, from 0 to 1, within the limit.
    """

    service: str
    rank: Rank
    availability: float
    latency: timedelta
    latency_share: float


@final
@dataclass(frozen=True, slots=True)
class Environment:
    """A whole environment document.

    :param operator: organisation that runs the environment.
    """

    operator: str
    shift: ShiftPolicy
    bounds: Bounds
    ranks: Mapping[Rank, RankPolicy]
    regions: Mapping[str, Region]
    links: Mapping[tuple[str, str], Link]
    services: Mapping[str, Service]
    routes: tuple[Route, ...]
    workers: Mapping[str, Worker]
    objectives: tuple[Objective, ...] = ()
    policies: Mapping[str, str] = field(default_factory=dict)

    def workers_of(self, service: str) -> tuple[Worker, ...]:
        """Return the workers of a service, in the order of the document."""
        return tuple(w for w in self.workers.values() if w.service == service)

    def region_of(self, data_centre: str) -> str | None:
        """Return the region of a data centre, if the document has it."""
        return next(
            (r.name for r in self.regions.values() if data_centre in r.data_centres),
            None,
        )

    def route_for(self, service: str, path: str) -> Route | None:
        """Return the route with the longest prefix that matches a path."""
        matching = (
            route
            for route in self.routes
            if route.service == service and _has_prefix(path, route.prefix)
        )
        return max(matching, key=lambda route: len(route.prefix), default=None)


def _has_prefix(path: str, prefix: str) -> bool:
    if prefix.endswith("/"):
        return path.startswith(prefix)
    return path == prefix or path.startswith(prefix + "/")
