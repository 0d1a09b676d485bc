"""Choice of the worker for a request: object affinity with bounded load."""

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
from sycamorenotch_policies._rate_shares import RateShares
from sycamorenotch_policies._return_schedule import ReturnSchedule
from sycamorenotch_policies._route_table import hash_to_unit_interval
from sycamorenotch_policies._worker_view import WorkerView

# Requests per slot, above which a request would be too late at most workers.
MAX_LOAD_PER_SLOT = 1.5
# More owners spread the load of one object better, but each has to load it first,
# which takes as long as several requests for a loaded object, and then remembers it
# in place of another. A service that is busy as a whole has no capacity for that.
OWNERS_PER_OBJECT = 2
OWNERS_PER_OBJECT_WHEN_BUSY = 1
BUSY_LOAD_PER_SLOT = 1.0
# Assumed latency of a worker that has not answered yet.
DEFAULT_LATENCY_S = 0.5
MIN_RETRY_AFTER_S = 0.2

MayWarmUp = Callable[[str], bool]


@final
@dataclass(frozen=True, slots=True)
class WorkerRequest:
    """A request that needs a worker.

    :param object_key: affinity key; if it is empty, the owners are random.
    :param tried: identifiers of workers that received the request already.
    """

    route: ForwardingRoute
    service: str
    object_key: str
    tried: frozenset[str] = frozenset()


@final
@dataclass(frozen=True, slots=True)
class ChosenWorker:
    """The worker chosen for a request.

    :param load: estimated requests per slot, running and queued.
    :param reason: why this worker was chosen, for the log.
    """

    view: WorkerView
    load: float
    reason: str


@final
@dataclass(frozen=True, slots=True)
class NoCapacity:
    """No worker can accept the request now.

    :param reason: detail of the refusal.
    :param retry_after_s: time after which the caller may retry, in seconds.
    """

    reason: str
    retry_after_s: float


class WorkerChoice(Protocol):
    """Strategy that chooses a worker for each request."""

    def choose(
        self, request: WorkerRequest, views: tuple[WorkerView, ...], now: float
    ) -> ChosenWorker | NoCapacity:
        """Choose among the usable workers of the service.

        :param now: monotonic time in seconds.
        """
        ...


@worker_choices.register("affinity")
@final
class AffinityChoice:
    """Sends requests for one object to the same few workers.

    Weighted rendezvous hashing selects the owners of an object, so that every
    instance agrees on them. The first owner whose queue is short gets the
    request. For large answers, owners in the region of the instance come first.

    :param region: region of this instance.
    :param limits: limits of each service, by its name.
    :param may_warm_up: returns whether this instance is the one that sends
        requests to a cold worker.
    :param random: spreads requests that have no object key.
    :param shares: divides the rate limits of workers among the instances; without it,
        this instance is the only one.
    """

    def __init__(
        self,
        region: str,
        limits: dict[str, ServiceLimits],
        may_warm_up: MayWarmUp,
        random: Random,
        shares: RateShares | None = None,
    ) -> None:
        self._region = region
        self._limits = limits
        self._may_warm_up = may_warm_up
        self._random = random
        self._shares = shares or RateShares("", dict, tuple)
        self._returns = ReturnSchedule()

    def choose(
        self, request: WorkerRequest, views: tuple[WorkerView, ...], now: float
    ) -> ChosenWorker | NoCapacity:
        """Choose among the usable workers of the service.

        :param now: monotonic time in seconds.
        """
        homes = request.route.homes
        eligible = [
            view
            for view in views
            if view.entry.id not in request.tried
            and (not homes or view.region in homes)
        ]
        candidates = [
            view
            for view in eligible
            if now >= view.paused_until and self._is_warm_enough(view, now)
        ]
        allowed = [view for view in candidates if self._is_within_share(view, now)]
        if not allowed:
            paused = [view for view in eligible if now < view.paused_until]
            if paused and not candidates:
                return self._refusal_until_resumed(request, paused, now)
            return self._refusal(request, candidates, now)
        responsive = [view for view in allowed if now < view.unresponsive_from()]
        owners = self._owners(request, responsive or allowed, now)
        for index, view in enumerate(owners):
            load = view.load(now) / view.entry.slots
            if load < MAX_LOAD_PER_SLOT:
                return ChosenWorker(view, load, f"owner {index + 1} of {len(owners)}")
        first = owners[0]
        excess = first.load(now) / first.entry.slots - MAX_LOAD_PER_SLOT
        wait = excess * (first.latency_s or DEFAULT_LATENCY_S)
        return NoCapacity("every owner has a long queue", max(MIN_RETRY_AFTER_S, wait))

    def _refusal(
        self, request: WorkerRequest, candidates: list[WorkerView], now: float
    ) -> NoCapacity:
        """Refuse a request that no worker can accept.

        :param candidates: workers that only their rate limits exclude.
        """
        if not candidates:
            return NoCapacity(
                "no worker of the service can accept the request", MIN_RETRY_AFTER_S
            )
        allowances = [view.rate.allowance for view in candidates]
        wait_s = min(allowance.wait_s(now) for allowance in allowances)
        rate = sum(allowance.rate for allowance in allowances)
        return NoCapacity(
            "every worker has had its share of requests",
            max(
                MIN_RETRY_AFTER_S,
                self._returns.next_s(request.route.priority, wait_s, rate, now),
            ),
        )

    def _refusal_until_resumed(
        self, request: WorkerRequest, paused: list[WorkerView], now: float
    ) -> NoCapacity:
        """Refuse a request until the first worker that pauses takes requests again."""
        wait_s = min(view.paused_until for view in paused) - now
        rate = sum(
            view.entry.slots / (view.latency_s or DEFAULT_LATENCY_S) for view in paused
        )
        return NoCapacity(
            "every worker that could accept the request asked for a pause",
            max(
                MIN_RETRY_AFTER_S,
                self._returns.next_s(request.route.priority, wait_s, rate, now),
            ),
        )

    def _is_within_share(self, view: WorkerView, now: float) -> bool:
        if view.rate.limit is None:
            return True
        self._shares.update(view.entry.id, view.entry.service, view.rate, now)
        return view.rate.allowance.is_available(now)

    def _is_warm_enough(self, view: WorkerView, now: float) -> bool:
        if now >= view.cold_until:
            return True
        limits = self._limits.get(view.entry.service)
        rate = 1.0 if limits is None or limits.cold_rate <= 0 else limits.cold_rate
        if not self._may_warm_up(view.entry.id):
            return False
        return view.has_room_at(rate, now)

    def _owners(
        self, request: WorkerRequest, views: list[WorkerView], now: float
    ) -> list[WorkerView]:
        key = request.object_key
        if not key or not request.route.sticky:
            key = str(self._random.random())
        ordered = sorted(views, key=lambda view: self._owner_score(key, view))
        busy = views[0].service_load.per_slot(now) >= BUSY_LOAD_PER_SLOT
        count = OWNERS_PER_OBJECT_WHEN_BUSY if busy else OWNERS_PER_OBJECT
        if request.route.kind is not RequestKind.DOWNLOAD:
            return ordered[:count]
        # Sending a large answer between regions costs more than a second owner.
        local = [view for view in ordered if view.region == self._region]
        remote = [view for view in ordered if view.region != self._region]
        return local[:count] + remote[:1]

    def _owner_score(self, key: str, view: WorkerView) -> float:
        """Return the weighted rendezvous score; the lowest scores own the object."""
        uniform = hash_to_unit_interval(key, view.entry.id) or 1e-12
        return -log(uniform) / view.entry.slots
