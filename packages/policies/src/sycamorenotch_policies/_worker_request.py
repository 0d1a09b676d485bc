"""What a choice of a worker is given, and what it returns."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from math import inf
from typing import Protocol
from typing import final

from sycamorenotch_kernel import ForwardingRoute
from sycamorenotch_policies._worker_view import WorkerView
from sycamorenotch_policies.work._worker_work import ExpectedRun

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
    :param time_left_s: time until the deadline, in seconds.
    :param beside: whether an attempt at another worker is still in flight.
    """

    route: ForwardingRoute
    service: str
    object_key: str
    tried: frozenset[str] = frozenset()
    time_left_s: float = inf
    beside: bool = False

    @property
    def sticky_key(self) -> str:
        """Key of the object if its requests prefer the same worker, else empty."""
        return self.object_key if self.route.sticky else ""


@final
@dataclass(frozen=True, slots=True)
class ChosenWorker:
    """The worker chosen for a request.

    :param load: estimated requests per slot, running and queued.
    :param reason: why this worker was chosen, for the log.
    :param run: what is expected of the request; none without estimates of work.
    """

    view: WorkerView
    load: float
    reason: str
    run: ExpectedRun | None = None


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
        """Choose among the workers of the service; those in backoff get no request.

        :param now: monotonic time in seconds.
        """
        ...
