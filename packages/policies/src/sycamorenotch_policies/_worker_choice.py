"""Which worker gets a request: few owners for each object, bounded load."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from math import log
from random import Random
from typing import Protocol
from typing import final

from sycamorenotch_kernel import ForwardingRoute
from sycamorenotch_kernel import ServiceLimits
from sycamorenotch_kernel import worker_choices
from sycamorenotch_policies._route_table import unit_interval
from sycamorenotch_policies._worker_book import WorkerView

# Load for each slot up to which an owner of an object in its order is taken.
FULL_LOAD = 1.0
# Load for each slot beyond which a request would wait longer than it may.
LONGEST_QUEUE = 2.0
# Owners of an object in the region, and in all other regions together.
LOCAL_OWNERS = 3
REMOTE_OWNERS = 2
DEFAULT_SERVICE_S = 0.5
SHORTEST_RETRY_S = 0.2

MayUseCold = Callable[[str], bool]


@final
@dataclass(frozen=True, slots=True)
class Wanted:
    """A request that needs a worker.

    :param tried: identifiers of workers that had the request already.
    """

    route: ForwardingRoute
    service: str
    object_key: str
    tried: frozenset[str] = frozenset()


@final
@dataclass(frozen=True, slots=True)
class Chosen:
    """A worker for a request.

    :param load: requests at the worker for each slot, as known.
    """

    view: WorkerView
    load: float
    reason: str


@final
@dataclass(frozen=True, slots=True)
class NoRoom:
    """No worker can take the request now.

    :param retry_after_s: when there may be room.
    """

    reason: str
    retry_after_s: float


class WorkerChoice(Protocol):
    """A way to choose a worker."""

    def choose(
        self, wanted: Wanted, views: tuple[WorkerView, ...], now: float
    ) -> Chosen | NoRoom:
        """Choose among the usable workers of the service."""
        ...


@worker_choices.register("affinity")
@final
class AffinityChoice:
    """Gives requests for one object to the same few workers.

    The owners are those of the highest rendezvous weight: some in the region
    of the instance, then some elsewhere. The first owner with a free slot is
    taken, else the least loaded one with a short queue.

    :param region: region of this instance.
    :param may_use_cold: whether this instance is the one that feeds a cold worker.
    """

    def __init__(
        self,
        region: str,
        limits: dict[str, ServiceLimits],
        may_use_cold: MayUseCold,
        random: Random,
    ) -> None:
        self._region = region
        self._limits = limits
        self._may_use_cold = may_use_cold
        self._random = random

    def choose(
        self, wanted: Wanted, views: tuple[WorkerView, ...], now: float
    ) -> Chosen | NoRoom:
        """Choose among the usable workers of the service."""
        homes = wanted.route.homes
        allowed = [
            view
            for view in views
            if view.entry.id not in wanted.tried
            and (not homes or view.region in homes)
            and self._bears_more(view, now)
        ]
        if not allowed:
            return NoRoom("no worker of the service is usable", SHORTEST_RETRY_S)
        owners = self._owners(wanted, allowed)
        for view in owners:
            load = view.load(now) / view.entry.slots
            if load < FULL_LOAD:
                return Chosen(view, load, "owner with a free slot")
        best = min(owners, key=lambda view: view.load(now) / view.entry.slots)
        load = best.load(now) / best.entry.slots
        if load < LONGEST_QUEUE:
            return Chosen(best, load, "least loaded owner")
        typical = best.latency_s or DEFAULT_SERVICE_S
        wait = max(SHORTEST_RETRY_S, (load - FULL_LOAD) * typical)
        return NoRoom("every owner has a long queue", wait)

    def _bears_more(self, view: WorkerView, now: float) -> bool:
        if now >= view.cold_until:
            return True
        limits = self._limits.get(view.entry.service)
        rate = 1.0 if limits is None or limits.cold_rate <= 0 else limits.cold_rate
        if not self._may_use_cold(view.entry.id):
            return False
        return view.sent_last_second(now) + 1 <= rate

    def _owners(self, wanted: Wanted, views: list[WorkerView]) -> list[WorkerView]:
        key = wanted.object_key
        if not key or not wanted.route.sticky:
            key = str(self._random.random())
        ordered = sorted(views, key=lambda view: self._rank(key, view))
        local = [view for view in ordered if view.region == self._region]
        remote = [view for view in ordered if view.region != self._region]
        return local[:LOCAL_OWNERS] + remote[:REMOTE_OWNERS]

    def _rank(self, key: str, view: WorkerView) -> float:
        """Weighted rendezvous: the least value owns the object."""
        draw = unit_interval(key, view.entry.id) or 1e-12
        return -log(draw) / view.entry.slots
