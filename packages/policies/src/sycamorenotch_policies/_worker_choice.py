"""Which worker gets a request: few owners for each object, bounded load."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from math import log
from random import Random
from typing import Protocol
from typing import final

from sycamorenotch_kernel import ForwardingRoute
from sycamorenotch_kernel import RequestKind
from sycamorenotch_kernel import ServiceLimits
from sycamorenotch_kernel import worker_choices
from sycamorenotch_policies._route_table import hash_to_unit_interval
from sycamorenotch_policies._worker_book import WorkerView

# Load for each slot beyond which a request would be too late at most workers.
LONGEST_QUEUE = 1.5
# Owners of an object. More owners share a burst better, but each of them must
# first learn the object, which takes as long as several requests that know it.
OWNERS = 2
# Time of a request at a worker of which no latency is known.
DEFAULT_SERVICE_S = 0.5
# Shortest pause that a refused caller is asked to make.
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

    The owners are those of the highest rendezvous weight, the same for every
    instance. The first one with a short queue is taken. Large answers have
    owners in the region of the instance first.

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
        heard = [view for view in allowed if now < view.silent_at()]
        owners = self._owners(wanted, heard or allowed)
        for place, view in enumerate(owners):
            load = view.load(now) / view.entry.slots
            if load < LONGEST_QUEUE:
                return Chosen(view, load, f"owner {place + 1} of {len(owners)}")
        first = owners[0]
        excess = first.load(now) / first.entry.slots - LONGEST_QUEUE
        wait = excess * (first.latency_s or DEFAULT_SERVICE_S)
        return NoRoom("every owner has a long queue", max(SHORTEST_RETRY_S, wait))

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
        if wanted.route.kind is not RequestKind.DOWNLOAD:
            return ordered[:OWNERS]
        # Bytes of large answers between regions cost more than a second owner.
        local = [view for view in ordered if view.region == self._region]
        remote = [view for view in ordered if view.region != self._region]
        return local[:OWNERS] + remote[:1]

    def _rank(self, key: str, view: WorkerView) -> float:
        """Weighted rendezvous: the least value owns the object."""
        draw = hash_to_unit_interval(key, view.entry.id) or 1e-12
        return -log(draw) / view.entry.slots
