"""Frozen data classes that represent a validated environment document."""

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
        """Name of the rank in documents and messages."""
        return self.name.lower()


@final
@dataclass(frozen=True, slots=True)
class RankPolicy:
    """Value and reserved capacity of one rank.

    :param worth: value of one answer within its deadline, relative to the
        other ranks.
    :param floor: share of every capacity, from 0 to 1, that a flood of requests of
        other ranks cannot take.
    :param deadline: time limit of requests that state none.
    """

    rank: Rank
    worth: float
    floor: float
    deadline: timedelta


@final
@dataclass(frozen=True, slots=True)
class ShiftPolicy:
    """Limit on the traffic that may move between regions.

    :param cap: share of a service's traffic, from 0 to 1, that may move to
        other regions within any sliding window.
    :param window: length of the sliding window.
    """

    cap: float
    window: timedelta


@final
@dataclass(frozen=True, slots=True)
class Bounds:
    """Time bounds that operators configure.

    :param answer_lifetime: time for which callers may cache a look-up answer.
    :param leaving: time after its notice during which a leaving upstream may
        still receive new requests.
    :param drain: longest duration of a graceful stop.
    :param claim_lifetime: time for which an idempotency key is kept.
    :param stale_after: age from which a measurement is stale and has no weight.
    :param cold_start: length of the warm-up of a new upstream.
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

    :param client_latency: one-way latency to clients in the region.
    :param internal_latency: one-way latency between its data centres.
    :param client_blocks: IP networks of the clients in the region.
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

    :param source: region that sends.
    :param target: region that receives.
    :param latency: one-way latency.
    :param budget: bandwidth for all traffic in this direction, in bits per second.
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
    :param slots: number of requests that it processes at the same time.
    :param connections: connections that it accepts from all instances together.
    :param connection_cost: processor time that the worker spends on accepting a
        connection.
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

    :param service_time: typical time that a request occupies a slot.
    :param answer_size: typical size of an answer, in bytes.
    """

    name: str
    service_time: timedelta
    answer_size: int


@final
@dataclass(frozen=True, slots=True)
class Route:
    """A path prefix of a service and how its requests are handled.

    :param methods: accepted HTTP methods.
    :param idempotent: whether a request may run more than once.
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
    """A service-level objective for one rank of a service.

    :param availability: required share of requests, from 0 to 1, that are
        answered without a server error.
    :param latency: latency limit of an answer.
    :param latency_share: required share of answers, from 0 to 1, that are within
        the latency limit.
    """

    service: str
    rank: Rank
    availability: float
    latency: timedelta
    latency_share: float


@final
@dataclass(frozen=True, slots=True)
class Environment:
    """A validated environment document.

    :param operator: organisation that runs the environment.
    :param links: links by source and target region, one for each direction.
    :param policies: registered name of the policy in use, by kind of policy.
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
        """Return the workers of a service in document order."""
        return tuple(w for w in self.workers.values() if w.service == service)

    def region_of(self, data_centre: str) -> str | None:
        """Return the region of a data centre, or none if it is unknown."""
        return next(
            (r.name for r in self.regions.values() if data_centre in r.data_centres),
            None,
        )

    def route_for(self, service: str, path: str) -> Route | None:
        """Return the route of a service with the longest matching path prefix."""
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
