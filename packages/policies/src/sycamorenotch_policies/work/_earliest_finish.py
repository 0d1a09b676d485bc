"""Choice of the worker that is likely to finish a request first.

For services whose workers state how long work currently takes on their machines.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Iterator
from dataclasses import replace
from itertools import islice
from math import inf
from random import Random
from typing import final

from sycamorenotch_kernel import RequestKind
from sycamorenotch_kernel import ServiceLimits
from sycamorenotch_kernel import worker_choices
from sycamorenotch_policies._object_owners import ObjectOwners
from sycamorenotch_policies._rate_shares import RateShares
from sycamorenotch_policies._worker_filter import WorkerFilter
from sycamorenotch_policies._worker_filter import drop_unresponsive
from sycamorenotch_policies._worker_request import MIN_RETRY_AFTER_S
from sycamorenotch_policies._worker_request import ChosenWorker
from sycamorenotch_policies._worker_request import MayWarmUp
from sycamorenotch_policies._worker_request import NoCapacity
from sycamorenotch_policies._worker_request import WorkerRequest
from sycamorenotch_policies._worker_view import WorkerView
from sycamorenotch_policies.work._candidates import BUSY_LOAD_PER_SLOT
from sycamorenotch_policies.work._candidates import Candidate
from sycamorenotch_policies.work._candidates import assess
from sycamorenotch_policies.work._candidates import has_room
from sycamorenotch_policies.work._candidates import longest_wait_s
from sycamorenotch_policies.work._candidates import overdue_s
from sycamorenotch_policies.work._costs import Warmth
from sycamorenotch_policies.work._object_copies import BUSY_PER_SLOT
from sycamorenotch_policies.work._object_copies import ObjectCopies
from sycamorenotch_policies.work._region_spill import RegionSpill

# Each further owner of an object costs one more cold run.
OWNERS = 2
OWNERS_WHEN_BUSY = 4
# Random workers of the own region, for requests that would wait at all owners.
SPILL_WORKERS = 2
# The first owner keeps an object unless another worker finishes earlier by this part
# of its cost.
MARGIN = 0.25
# Differences below this are noise of the network and of the event loop.
MIN_MARGIN_S = 0.005
# Cold runs that a further copy of an object causes: its own, and one for the object
# that the worker forgets in its place.
COLD_RUNS = 2.0
# Part of the cost for a cold object that a warm one saves.
COLD_EXTRA = 0.6
# Random part of a finish, as part of the cost, so that instances which know the same do
# not all choose the same worker.
JITTER = 0.1


@worker_choices.register("earliest-finish")
@final
class EarliestFinishChoice:
    """Sends a request to the owner of its object that is likely to finish it first.

    Few workers are compared: the first owners of the object by weighted rendezvous
    hashing and, if it would wait there, random workers of the own region.

    :param region: region of this instance.
    :param limits: limits of each service, by its name.
    :param may_warm_up: returns whether this instance is the one that sends
        requests to a cold worker.
    :param random: breaks ties, and spreads requests that have no object key.
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
        self._random = random
        self._filter = WorkerFilter(limits, may_warm_up, shares)
        self._owners = ObjectOwners(random)
        self._copies = ObjectCopies()
        self._spill = RegionSpill(random)

    def choose(
        self, request: WorkerRequest, views: tuple[WorkerView, ...], now: float
    ) -> ChosenWorker | NoCapacity:
        """Choose among the workers of the service.

        :param now: monotonic time in seconds.
        """
        silent: list[WorkerView] = []
        owners = self._accepted_owners(request, views, silent, now)
        if request.sticky_key:
            copies = self._copies.count(request.service, request.sticky_key, now)
            first = list(islice(owners, max(copies, OWNERS))) or silent[:OWNERS]
        else:
            copies = OWNERS
            first = self._local(request, views, now)
            first += _without(islice(owners, OWNERS), first)
            first = first or silent[:OWNERS]
        if not first:
            return self._filter.refusal(request, views, now)
        found = self._assess_first(request, views, first, copies, now)
        busy = first[0].service_load.per_slot(now) >= BUSY_LOAD_PER_SLOT
        if not (busy and request.sticky_key) and all(c.run.wait_s > 0 for c in found):
            found += self._further(request, views, owners, found, now)
        fitting = [c for c in found if has_room(request, c, now)]
        if not fitting and request.sticky_key:
            rest = self._not_drawn(request, first[:copies], found, now)
            fitting = [c for c in rest if has_room(request, c, now)]
            found += rest
        if fitting:
            return self._best(request, first[0].region, found[0], fitting, now)
        return self._refuse(request, found, now)

    def _assess_first(
        self,
        request: WorkerRequest,
        views: tuple[WorkerView, ...],
        first: list[WorkerView],
        copies: int,
        now: float,
    ) -> list[Candidate]:
        """Estimate the finish at the first workers, the one that is preferred first.

        :param first: owners of the object, or random workers without one.
        :param copies: number of owners that share the requests for the object.
        """
        key = request.sticky_key
        if not key:
            return [self._assess(request, view, None, now) for view in first]
        # A worker that only stands in for the first owner has seen few of its objects.
        ordered = self._owners.ordered(request.service, key, views)
        primary = next(ordered) if copies == 1 else None
        found = [
            self._assess(request, v, i, now, is_owner=v is primary or copies > 1)
            for v, i in self._sharing(request.service, first[:copies], now)
        ]
        busy = first[0].service_load.per_slot(now) >= BUSY_LOAD_PER_SLOT
        if not busy and found[0].per_slot >= BUSY_PER_SLOT:
            self._copies.record_busy(request.service, key, now)
        others = [self._assess(request, v, None, now) for v in first[copies:]]
        return found + [c for c in others if not busy or c.run.warmth is Warmth.SEEN]

    def _sharing(
        self, service: str, owners: list[WorkerView], now: float
    ) -> list[tuple[WorkerView, int]]:
        """Draw two of the owners that share an object, with their places.

        The first one is preferred; its region changes gradually.
        """
        if len(owners) == 1:
            return [(owners[0], 0)]
        placed = [(view, place) for place, view in enumerate(owners)]
        home = [item for item in placed if item[0].region == owners[0].region]
        away = [item for item in placed if item[0].region != owners[0].region]
        if away and self._spill.leaves(service, len(away) / len(placed), now):
            home = away
        preferred = self._random.choice(home)
        others = [item for item in placed if item is not preferred]
        return [preferred, self._random.choice(others)]

    def _not_drawn(
        self,
        request: WorkerRequest,
        sharing: list[WorkerView],
        found: list[Candidate],
        now: float,
    ) -> list[Candidate]:
        """Return the owners that share an object and are not among those found."""
        return [
            self._assess(request, view, place, now, is_owner=True)
            for place, view in enumerate(sharing)
            if not any(view is candidate.view for candidate in found)
        ]

    def _local(
        self, request: WorkerRequest, views: tuple[WorkerView, ...], now: float
    ) -> list[WorkerView]:
        """Draw workers of the own region that may get the request."""
        local = self._owners.of_region(request.service, self._region, views)
        drawn = self._random.sample(local, min(SPILL_WORKERS, len(local)))
        return [
            view
            for view in drawn
            if self._filter.accepts(request, view, now)
            and now < view.unresponsive_from()
        ]

    def _accepted_owners(
        self,
        request: WorkerRequest,
        views: tuple[WorkerView, ...],
        silent: list[WorkerView],
        now: float,
    ) -> Iterator[WorkerView]:
        """Return the owners that may get the request, in their order.

        :param silent: gets those that are unresponsive.
        """
        ordered = self._owners.ordered(request.service, request.sticky_key, views)
        if request.route.kind is RequestKind.DOWNLOAD:
            # Sending a large answer between regions costs more than a second owner.
            ordered = iter(sorted(ordered, key=lambda v: v.region != self._region))
        accepted = (v for v in ordered if self._filter.accepts(request, v, now))
        return drop_unresponsive(accepted, silent, now)

    def _further(
        self,
        request: WorkerRequest,
        views: tuple[WorkerView, ...],
        owners: Iterator[WorkerView],
        found: list[Candidate],
        now: float,
    ) -> list[Candidate]:
        """Return workers beside the first owners, at all of which it would wait."""
        more: list[WorkerView] = []
        if not any(has_room(request, c, now) for c in found):
            more += islice(owners, OWNERS_WHEN_BUSY - OWNERS)
        more = [view for view in more if now < view.unresponsive_from()]
        known = [candidate.view for candidate in found] + more
        more += _without(self._local(request, views, now), known)
        return [self._assess(request, view, None, now) for view in more]

    def _assess(
        self,
        request: WorkerRequest,
        view: WorkerView,
        place: int | None,
        now: float,
        *,
        is_owner: bool = False,
    ) -> Candidate:
        is_local = view.region == self._region
        return assess(
            request, view, place, is_owner=is_owner, is_local=is_local, now=now
        )

    def _best(
        self,
        request: WorkerRequest,
        home: str,
        first: Candidate,
        fitting: list[Candidate],
        now: float,
    ) -> ChosenWorker:
        """Choose among the workers that have room.

        :param home: region of the first owner, or of this instance.
        :param first: the preferred worker, whether or not it has room.
        """
        load = first.view.service_load.per_slot(now)
        load = load / (1.0 - load) if load < BUSY_LOAD_PER_SLOT else inf
        cold = first.view.work.service.costs.estimate(request.route.name, Warmth.UNSEEN)
        # Also at a start, when the first owner has nothing warm either.
        penalty_s = load * COLD_RUNS * COLD_EXTRA * cold.mean_s

        def score(candidate: Candidate) -> float:
            finish_s = candidate.run.finish_s
            finish_s += JITTER * first.run.cost_s * self._random.random()
            if candidate is first or not request.sticky_key:
                return finish_s
            finish_s += max(MIN_MARGIN_S, MARGIN * first.run.cost_s)
            if candidate.run.warmth is not Warmth.UNSEEN:
                return finish_s
            # A cold run takes the time of others, and so does the next run for the
            # object that it displaces.
            return finish_s + penalty_s

        scored = sorted(((score(c), i) for i, c in enumerate(fitting)))
        best = fitting[scored[0][1]]
        near = first.view.region
        at_home = [(s, i) for s, i in scored if fitting[i].view.region == near]
        away = [(s, i) for s, i in scored if fitting[i].view.region != near]
        if at_home and away:
            advantage = (at_home[0][0] - away[0][0]) / first.run.cost_s
            leaves = self._spill.leaves(request.service, advantage, now)
            best = fitting[(away if leaves else at_home)[0][1]]
        is_away = best.view.region != home
        self._spill.record(request.service, away=is_away, now=now)
        run = replace(best.run, overdue_s=overdue_s(request, best, now))
        return ChosenWorker(best.view, best.per_slot, _reason(best), run)

    def _refuse(
        self, request: WorkerRequest, found: list[Candidate], now: float
    ) -> NoCapacity:
        reason = "every owner has a long queue"
        if min(c.optimistic_s for c in found) > request.time_left_s:
            reason = "no worker can finish the request in time"
        excess_s = min(c.run.wait_s - longest_wait_s(request, c, now) for c in found)
        # Callers that are refused together do not return together.
        excess_s *= 1.0 + self._random.random() / 2
        return NoCapacity(reason, max(MIN_RETRY_AFTER_S, excess_s))


def _without(views: Iterable[WorkerView], known: list[WorkerView]) -> list[WorkerView]:
    return [view for view in views if not any(view is other for other in known)]


def _reason(candidate: Candidate) -> str:
    place = candidate.place
    kind = "another worker" if place is None else f"owner {place + 1}"
    run = candidate.run
    joined = ", joins a run" if run.joined else ""
    return (
        f"{kind}, {run.warmth.name.lower()}{joined}, "
        f"wait {run.wait_s:.2f} s, cost {run.cost_s:.2f} s x {run.slowdown:.2f}"
    )
