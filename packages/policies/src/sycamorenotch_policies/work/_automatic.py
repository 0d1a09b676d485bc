"""Choice of a worker by what the workers of the service state."""

from __future__ import annotations

from random import Random
from typing import final

from sycamorenotch_kernel import ServiceLimits
from sycamorenotch_kernel import worker_choices
from sycamorenotch_policies._rate_shares import RateShares
from sycamorenotch_policies._worker_request import ChosenWorker
from sycamorenotch_policies._worker_request import MayWarmUp
from sycamorenotch_policies._worker_request import NoCapacity
from sycamorenotch_policies._worker_request import WorkerChoice
from sycamorenotch_policies._worker_request import WorkerRequest
from sycamorenotch_policies._worker_view import WorkerView


@worker_choices.register("automatic")
@final
class AutomaticChoice:
    """Uses estimates of work where workers state how long work takes, else affinity.

    The parameters are those of both choices.
    """

    def __init__(
        self,
        region: str,
        limits: dict[str, ServiceLimits],
        may_warm_up: MayWarmUp,
        random: Random,
        shares: RateShares | None = None,
    ) -> None:
        arguments = (region, limits, may_warm_up, random, shares)
        self._affinity: WorkerChoice = worker_choices.get("affinity")(*arguments)
        self._estimates: WorkerChoice = worker_choices.get("earliest-finish")(
            *arguments
        )

    def choose(
        self, request: WorkerRequest, views: tuple[WorkerView, ...], now: float
    ) -> ChosenWorker | NoCapacity:
        """Choose among the workers of the service.

        :param now: monotonic time in seconds.
        """
        stated = bool(views) and views[0].work.service.states_slowdown(now)
        choice = self._estimates if stated else self._affinity
        return choice.choose(request, views, now)
