"""Shares of a worker's request rate limit among the instances that need it."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
from heapq import nlargest
from heapq import nsmallest
from math import exp
from math import log
from math import log2
from typing import final

from sycamorenotch_policies._rate_limit import WorkerRateLimit
from sycamorenotch_policies._route_table import hash_to_unit_interval

# Time constant of the average demand: a few requests at low rates, and short enough
# to follow callers that move to another instance.
DEMAND_SMOOTHING_S = 2.0
# Requests per second of an instance that got none lately, so that it can start.
MIN_DEMAND = 0.1
# Bounds what a heartbeat states; the demand for other services counts as the least.
MAX_SERVICES = 16
# A worker that names a lower limit still gets a request at times, as only an answer
# shows that the limit has ended.
MIN_LIMIT = 0.1
# Each holder of a share may send one request at once. So many holders beside one for
# each request per second stay within the tolerance of the limit.
EXTRA_HOLDERS = 3.0
REFRESH_INTERVAL_S = 0.5

ServiceDemand = Mapping[str, float]


@final
@dataclass(slots=True)
class _Count:
    average: float = 0.0
    requests: int = 0
    read_at: float = 0.0


@final
class DemandMeter:
    """Average rate of the requests that callers send to an instance, by service."""

    def __init__(self) -> None:
        self._counts: dict[str, _Count] = {}

    def record_request(self, service: str, now: float) -> None:
        """Count a request, whether or not a worker can take it.

        :param now: monotonic time in seconds.
        """
        self._counts.setdefault(service, _Count(read_at=now)).requests += 1

    def read(self, now: float) -> dict[str, float]:
        """Return the requests per second of the busiest services.

        :param now: monotonic time in seconds.
        """
        for count in self._counts.values():
            elapsed = now - count.read_at
            if elapsed <= 0:
                continue
            gain = 1.0 - exp(-elapsed / DEMAND_SMOOTHING_S)
            count.average += gain * (count.requests / elapsed - count.average)
            count.requests, count.read_at = 0, now
        rates = {name: round(count.average, 1) for name, count in self._counts.items()}
        self._counts = {
            name: count
            for name, count in self._counts.items()
            if rates[name] > 0 or count.requests
        }
        busiest = nlargest(MAX_SERVICES, rates, key=rates.__getitem__)
        return {name: rates[name] for name in busiest if rates[name] > 0}


@final
@dataclass(slots=True)
class _Weights:
    by_instance: dict[str, float]
    total: float
    until: float


@final
class RateShares:
    """Divides the limits of workers among the instances, by their demand.

    All instances compute the same shares if they know the same demands. If a limit
    is too small for all of them, few hold it, chosen by weighted rendezvous hashing.
    An instance whose demand is not known counts as much as this one.

    :param own_id: identifier of this instance.
    :param own_demand: returns the demand that this instance last reported.
    :param peers: returns the other instances that take requests, each with its
        demand if it is known.
    """

    def __init__(
        self,
        own_id: str,
        own_demand: Callable[[], ServiceDemand],
        peers: Callable[[], Iterable[tuple[str, ServiceDemand | None]]],
    ) -> None:
        self._own_id = own_id
        self._own_demand = own_demand
        self._peers = peers
        self._weights: dict[str, _Weights] = {}

    def update(
        self, worker: str, service: str, rate: WorkerRateLimit, now: float
    ) -> None:
        """Set the rate of this instance's allowance, if that is due.

        :param now: monotonic time in seconds.
        """
        if now < rate.share_until or rate.limit is None:
            return
        share = self._share(worker, service, rate, now)
        rate.allowance.set_rate(share * max(rate.limit, MIN_LIMIT), now)
        rate.share_until = now + REFRESH_INTERVAL_S

    def _share(
        self, worker: str, service: str, rate: WorkerRateLimit, now: float
    ) -> float:
        """Return the part of a worker's limit that this instance may use, up to 1."""
        weights = self._current_weights(service, now)
        own = weights.by_instance[self._own_id]
        count = int((rate.limit or 0.0) + EXTRA_HOLDERS)
        if count >= len(weights.by_instance):
            return own / weights.total
        known = rate.distances

        def distance(item: tuple[str, float]) -> float:
            name, weight = item
            if name not in known:
                known[name] = -log(hash_to_unit_interval(worker, name) or 1e-12)
            return known[name] / weight

        holders = dict(nsmallest(count, weights.by_instance.items(), key=distance))
        return own / sum(holders.values()) if self._own_id in holders else 0.0

    def _current_weights(self, service: str, now: float) -> _Weights:
        current = self._weights.get(service)
        if current is not None and now < current.until:
            return current
        own = _weight(self._own_demand().get(service, 0.0))
        found = {
            name: own if demand is None else _weight(demand.get(service, 0.0))
            for name, demand in self._peers()
        }
        found[self._own_id] = own
        updated = _Weights(found, sum(found.values()), now + REFRESH_INTERVAL_S)
        self._weights[service] = updated
        return updated


def _weight(demand: float) -> float:
    """Return the demand as a power of two, so that holders seldom change."""
    return 2.0 ** round(log2(max(demand, MIN_DEMAND)))
