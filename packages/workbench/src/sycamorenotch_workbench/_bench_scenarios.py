"""Loads and faults of the measurements."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace
from typing import final

from sycamorenotch_kernel import Environment
from sycamorenotch_kernel import Rank
from sycamorenotch_kernel import Route

# Service times grow and links shrink by this factor, so that a run has few
# enough requests; the use of slots and links stays the same.
TIME_SCALE = 20
CALM_USE = 0.5
FLOOD_USE = 3.0
FAULT_AT_S = 6.0


@final
@dataclass(frozen=True, slots=True)
class Scenario:
    """What happens in one run.

    :param flood: rank whose demand grows to three times the capacity.
    :param lost: whether the last region of the document is lost.
    :param lagging: whether measurements stop to arrive.
    :param drained: whether the second data centre of the document drains.
    """

    name: str
    duration_s: float = 20.0
    flood: Rank | None = None
    lost: bool = False
    lagging: bool = False
    drained: bool = False


SCENARIOS = (
    Scenario("calm"),
    Scenario("region-loss", duration_s=40.0, lost=True),
    Scenario("least-urgent-flood", flood=Rank.DEFERRABLE),
    Scenario("most-urgent-flood", flood=Rank.URGENT),
    Scenario("lagging-measurements", lagging=True),
    Scenario("planned-drain", drained=True),
    Scenario("region-loss-and-urgent-flood", flood=Rank.URGENT, lost=True),
)


def scaled(environment: Environment) -> Environment:
    """Return the environment with slower services and narrower links."""
    services = {
        name: replace(item, service_time=item.service_time * TIME_SCALE)
        for name, item in environment.services.items()
    }
    links = {
        key: replace(link, budget=link.budget // TIME_SCALE)
        for key, link in environment.links.items()
    }
    return replace(environment, services=services, links=links)


def route_rate(
    environment: Environment, scenario: Scenario, route: Route, now_s: float
) -> float:
    """Return the requests per second of a route over all regions."""
    slots = sum(worker.slots for worker in environment.workers_of(route.service))
    service_time_s = environment.services[route.service].service_time.total_seconds()
    capacity = slots / service_time_s
    siblings = [r for r in environment.routes if r.service == route.service]
    flooded = [r for r in siblings if r.rank is scenario.flood]
    if now_s >= FAULT_AT_S and route in flooded:
        return FLOOD_USE * capacity / len(flooded)
    return CALM_USE * capacity / len(siblings)
