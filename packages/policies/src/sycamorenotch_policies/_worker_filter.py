"""Which workers may get a request at all, and the refusal if none may.

Every choice of a worker keeps to these rules.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Iterator
from typing import final

from sycamorenotch_kernel import ServiceLimits
from sycamorenotch_policies._rate_shares import RateShares
from sycamorenotch_policies._return_schedule import ReturnSchedule
from sycamorenotch_policies._worker_request import DEFAULT_LATENCY_S
from sycamorenotch_policies._worker_request import MIN_RETRY_AFTER_S
from sycamorenotch_policies._worker_request import MayWarmUp
from sycamorenotch_policies._worker_request import NoCapacity
from sycamorenotch_policies._worker_request import WorkerRequest
from sycamorenotch_policies._worker_view import WorkerView


@final
class WorkerFilter:
    """Applies home regions, backoff, pauses, cold starts and rate limits of workers.

    :param limits: limits of each service, by its name.
    :param may_warm_up: returns whether this instance is the one that sends
        requests to a cold worker.
    :param shares: divides the rate limits of workers among the instances; without it,
        this instance is the only one.
    """

    def __init__(
        self,
        limits: dict[str, ServiceLimits],
        may_warm_up: MayWarmUp,
        shares: RateShares | None,
    ) -> None:
        self._limits = limits
        self._may_warm_up = may_warm_up
        self._shares = shares or RateShares("", dict, tuple)
        self._returns = ReturnSchedule()

    def accepts(self, request: WorkerRequest, view: WorkerView, now: float) -> bool:
        """Return whether a worker may get the request."""
        return (
            self._is_eligible(request, view, now)
            and self._is_available(view, now)
            and self._is_within_share(view, now)
        )

    def refusal(
        self, request: WorkerRequest, views: Iterable[WorkerView], now: float
    ) -> NoCapacity:
        """Return the refusal of a request that no worker may get."""
        eligible = [view for view in views if self._is_eligible(request, view, now)]
        limited = [view for view in eligible if self._is_available(view, now)]
        paused = [view for view in eligible if now < view.paused_until]
        if limited:
            return self._refusal_of_limits(request, limited, now)
        if paused:
            return self._refusal_until_resumed(request, paused, now)
        return NoCapacity(
            "no worker of the service can accept the request", MIN_RETRY_AFTER_S
        )

    def _is_eligible(
        self, request: WorkerRequest, view: WorkerView, now: float
    ) -> bool:
        homes = request.route.homes
        return (
            now >= view.backoff_until
            and view.entry.id not in request.tried
            and (not homes or view.region in homes)
        )

    def _is_available(self, view: WorkerView, now: float) -> bool:
        return now >= view.paused_until and self._is_warm_enough(view, now)

    def _refusal_of_limits(
        self, request: WorkerRequest, limited: list[WorkerView], now: float
    ) -> NoCapacity:
        """Refuse a request that only the rate limits of workers exclude."""
        allowances = [view.rate.allowance for view in limited]
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


def drop_unresponsive(
    views: Iterable[WorkerView], unresponsive: list[WorkerView], now: float
) -> Iterator[WorkerView]:
    """Return the workers that answer, one by one.

    :param unresponsive: gets the others, which may serve if no worker answers.
    """
    for view in views:
        if now < view.unresponsive_from():
            yield view
        else:
            unresponsive.append(view)
