"""Estimated need of each instance for the capacity of each region."""

from __future__ import annotations

from collections import defaultdict
from itertools import groupby
from typing import final

from sycamorenotch_kernel import Environment
from sycamorenotch_kernel import InstanceId
from sycamorenotch_kernel import InstanceState
from sycamorenotch_kernel import PlanRoute
from sycamorenotch_policies._measurements import Assessment
from sycamorenotch_policies._steering_view import SteeringView

# Weight that the instances of a region share besides measured demand, as a part of
# the request rate that the region can serve. With it each instance can serve the
# first requests after an idle time.
BASE_WEIGHT_SHARE = 0.1

DemandWeights = dict[tuple[str, str], dict[InstanceId, float]]


def instance_demand_weights(
    view: SteeringView, assessment: Assessment, routes: tuple[PlanRoute, ...]
) -> DemandWeights:
    """Weigh instances by the demand that look-ups route through them.

    :return: weight in requests per second of each instance, by region and service.
    """
    entries = _EntryInstances(view)
    demand_weights: defaultdict[tuple[str, str], defaultdict[InstanceId, float]] = (
        defaultdict(lambda: defaultdict(float))
    )
    for service, source in sorted({(r.service, r.source) for r in routes}):
        related = [r for r in routes if (r.service, r.source) == (service, source)]
        first = min(related, key=lambda route: route.rank)
        shares_of_route = entries.shares_of_route(first)
        for route in related:
            rate = assessment.rates.get((service, source, route.rank), 0.0)
            for item in route.shares:
                for name, part in shares_of_route.items():
                    demand_weights[item.region, service][name] += (
                        rate * item.share * part
                    )
    for pool_key, capacity in assessment.capacities.items():
        base = max(1.0, capacity.rate) * BASE_WEIGHT_SHARE
        for name, part in entries.shares_of_region(pool_key[0]).items():
            demand_weights[pool_key][name] += base * part
    return {pool_key: dict(found) for pool_key, found in demand_weights.items()}


@final
class _EntryInstances:
    """Live instances that receive the callers of a region."""

    def __init__(self, view: SteeringView) -> None:
        live = [i for i in view.instances if i.state is InstanceState.LIVE]
        ordered = sorted(live, key=lambda item: (item.region, item.id))
        self._environment: Environment = view.environment
        self._by_region = {
            region: [item.id for item in items]
            for region, items in groupby(ordered, key=lambda item: item.region)
        }

    def shares_of_region(self, region: str) -> dict[InstanceId, float]:
        """Return the share of a region's callers that each instance receives."""
        names = self._by_region.get(self._nearest(region), [])
        return {name: 1.0 / len(names) for name in names}

    def shares_of_route(self, route: PlanRoute) -> dict[InstanceId, float]:
        """Return the share of a route's callers that each instance receives."""
        found: defaultdict[InstanceId, float] = defaultdict(float)
        for item in route.shares:
            entry_region = (
                item.region if item.region in self._by_region else route.source
            )
            for name, part in self.shares_of_region(entry_region).items():
                found[name] += item.share * part
        return dict(found)

    def _nearest(self, region: str) -> str:
        if region in self._by_region:
            return region
        links = self._environment.links
        linked = [name for name in self._by_region if (region, name) in links]
        return min(
            linked,
            key=lambda name: (links[region, name].latency, name),
            default=region,
        )
