"""Loads and faults of the benchmark scenarios."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace
from typing import final

from sycamorenotch_kernel import Environment
from sycamorenotch_kernel import Rank
from sycamorenotch_kernel import Route

# Service times are multiplied and link budgets divided by this factor to limit
# the number of simulated requests; the utilisation of slots and links is unchanged.
TIME_SCALE = 20
CALM_UTILISATION = 0.5
FLOOD_DEMAND_FACTOR = 3.0
FAULT_AT_S = 6.0


@final
@dataclass(frozen=True, slots=True)
class Scenario:
    """Load and faults of one run.

    :param flood: rank whose demand rises to three times the capacity.
    :param region_lost: whether the last region of the document fails.
    :param stale_measurements: whether measurements stop arriving.
    :param drained: whether the second data centre of the first region drains.
    """

    name: str
    duration_s: float = 20.0
    flood: Rank | None = None
    region_lost: bool = False
    stale_measurements: bool = False
    drained: bool = False


SCENARIOS = (
    Scenario("calm"),
    Scenario("region-loss", duration_s=40.0, region_lost=True),
    Scenario("least-urgent-flood", flood=Rank.DEFERRABLE),
    Scenario("most-urgent-flood", flood=Rank.URGENT),
    Scenario("lagging-measurements", stale_measurements=True),
    Scenario("planned-drain", drained=True),
    Scenario("region-loss-and-urgent-flood", flood=Rank.URGENT, region_lost=True),
)


def scale_environment(environment: Environment) -> Environment:
    """Return the environment with service times and link budgets scaled."""
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
    """Return the request rate of a route over all regions, per second."""
    slots = sum(worker.slots for worker in environment.workers_of(route.service))
    service_time_s = environment.services[route.service].service_time.total_seconds()
    capacity = slots / service_time_s
    service_routes = [r for r in environment.routes if r.service == route.service]
    flooded = [r for r in service_routes if r.rank is scenario.flood]
    if now_s >= FAULT_AT_S and route in flooded:
        return FLOOD_DEMAND_FACTOR * capacity / len(flooded)
    return CALM_UTILISATION * capacity / len(service_routes)
