"""Choice of the worker for a request: object affinity with bounded load."""

from __future__ import annotations

from collections.abc import Iterable
from itertools import islice
from random import Random
from typing import final

from sycamorenotch_kernel import RequestKind
from sycamorenotch_kernel import ServiceLimits
from sycamorenotch_kernel import worker_choices
from sycamorenotch_policies._object_owners import ObjectOwners
from sycamorenotch_policies._rate_shares import RateShares
from sycamorenotch_policies._worker_filter import WorkerFilter
from sycamorenotch_policies._worker_filter import drop_unresponsive
from sycamorenotch_policies._worker_request import DEFAULT_LATENCY_S
from sycamorenotch_policies._worker_request import MIN_RETRY_AFTER_S
from sycamorenotch_policies._worker_request import ChosenWorker
from sycamorenotch_policies._worker_request import MayWarmUp
from sycamorenotch_policies._worker_request import NoCapacity
from sycamorenotch_policies._worker_request import WorkerRequest
from sycamorenotch_policies._worker_view import WorkerView

# Requests per slot, above which a request would be too late at most workers.
MAX_LOAD_PER_SLOT = 1.5
# More owners spread the load of one object better, but each has to load it first,
# which takes as long as several requests for a loaded object, and then remembers it
# in place of another. A service that is busy as a whole has no capacity for that.
OWNERS_PER_OBJECT = 2
OWNERS_PER_OBJECT_WHEN_BUSY = 1
BUSY_LOAD_PER_SLOT = 1.0


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
        self._filter = WorkerFilter(limits, may_warm_up, shares)
        self._owners = ObjectOwners(random)

    def choose(
        self, request: WorkerRequest, views: tuple[WorkerView, ...], now: float
    ) -> ChosenWorker | NoCapacity:
        """Choose among the workers of the service.

        :param now: monotonic time in seconds.
        """
        owners = self._first_owners(request, views, now)
        if not owners:
            return self._filter.refusal(request, views, now)
        for index, view in enumerate(owners):
            load = view.load(now) / view.entry.slots
            if load < MAX_LOAD_PER_SLOT:
                return ChosenWorker(view, load, f"owner {index + 1} of {len(owners)}")
        first = owners[0]
        excess = first.load(now) / first.entry.slots - MAX_LOAD_PER_SLOT
        wait = excess * (first.latency_s or DEFAULT_LATENCY_S)
        return NoCapacity("every owner has a long queue", max(MIN_RETRY_AFTER_S, wait))

    def _first_owners(
        self, request: WorkerRequest, views: tuple[WorkerView, ...], now: float
    ) -> list[WorkerView]:
        """Return the owners that may get the request.

        Unresponsive workers are owners only if every other worker is excluded.
        """
        ordered = self._owners.ordered(request.service, request.sticky_key, views)
        accepted = (v for v in ordered if self._filter.accepts(request, v, now))
        silent: list[WorkerView] = []
        responsive = drop_unresponsive(accepted, silent, now)
        return self._pick(request, responsive, now) or self._pick(request, silent, now)

    def _pick(
        self, request: WorkerRequest, ordered: Iterable[WorkerView], now: float
    ) -> list[WorkerView]:
        views = iter(ordered)
        first = next(views, None)
        if first is None:
            return []
        busy = first.service_load.per_slot(now) >= BUSY_LOAD_PER_SLOT
        count = OWNERS_PER_OBJECT_WHEN_BUSY if busy else OWNERS_PER_OBJECT
        if request.route.kind is not RequestKind.DOWNLOAD:
            return [first, *islice(views, count - 1)]
        # Sending a large answer between regions costs more than a second owner.
        rest = [first, *views]
        local = [view for view in rest if view.region == self._region]
        remote = [view for view in rest if view.region != self._region]
        return local[:count] + remote[:1]
