"""How much of each region's capacity each instance is likely to need."""

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

# Weight that each instance has in its own region beside measured demand, so
# that it can serve the first requests after a quiet time.
BASE_WEIGHT = 0.1

Wants = dict[tuple[str, str], dict[InstanceId, float]]


def instance_wants(
    view: SteeringView, assessment: Assessment, routes: tuple[PlanRoute, ...]
) -> Wants:
    """Weigh instances by the demand that look-ups lead through them."""
    entries = _Entries(view)
    wants: defaultdict[tuple[str, str], defaultdict[InstanceId, float]] = defaultdict(
        lambda: defaultdict(float)
    )
    for service, source in sorted({(r.service, r.source) for r in routes}):
        related = [r for r in routes if (r.service, r.source) == (service, source)]
        first = min(related, key=lambda route: route.rank)
        spread = entries.spread(first)
        for route in related:
            rate = assessment.rates.get((service, source, route.rank), 0.0)
            for item in route.shares:
                for name, part in spread.items():
                    wants[item.region, service][name] += rate * item.share * part
    for pool, capacity in assessment.capacities.items():
        base = max(1.0, capacity.rate) * BASE_WEIGHT
        for name, part in entries.of(pool[0]).items():
            wants[pool][name] += base * part
    return {pool: dict(found) for pool, found in wants.items()}


@final
class _Entries:
    """The live instances that callers of a region are sent to."""

    def __init__(self, view: SteeringView) -> None:
        live = [i for i in view.instances if i.state is InstanceState.LIVE]
        ordered = sorted(live, key=lambda item: (item.region, item.id))
        self._environment: Environment = view.environment
        self._by_region = {
            region: [item.id for item in items]
            for region, items in groupby(ordered, key=lambda item: item.region)
        }

    def of(self, region: str) -> dict[InstanceId, float]:
        """Return the share of each instance that takes a region's callers."""
        names = self._by_region.get(self._nearest(region), [])
        return {name: 1.0 / len(names) for name in names}

    def spread(self, route: PlanRoute) -> dict[InstanceId, float]:
        """Return the share of a route's callers that each instance takes."""
        found: defaultdict[InstanceId, float] = defaultdict(float)
        for item in route.shares:
            place = item.region if item.region in self._by_region else route.source
            for name, part in self.of(place).items():
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
