"""Quarantines requests that crash the workers that run them."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from typing import ClassVar
from typing import final

from sycamorenotch_gateway._events import RequestQuarantined
from sycamorenotch_gateway._node import GatewayNode
from sycamorenotch_kernel import ErrorKind
from sycamorenotch_kernel import ForwardCall
from sycamorenotch_kernel import Ran
from sycamorenotch_kernel import Refusal
from sycamorenotch_kernel import gateway_components
from sycamorenotch_policies import Quarantine
from sycamorenotch_policies import Signature
from sycamorenotch_policies import Strike
from sycamorenotch_policies import sign_request

# A crash shows as refused connections or a restart within this time of the loss.
CRASH_CONFIRMATION_S = 5.0
# Bound on lost requests that wait for a crash to show; the oldest are discarded.
MAX_PENDING_LOSSES = 256
# Each strike is sent in several heartbeats, so one lost datagram loses no strike.
MAX_STRIKES_PER_HEARTBEAT = 12


@final
@dataclass(frozen=True, slots=True)
class _LostRequest:
    """A request whose worker closed the connection without an answer.

    :param lost_at: time on the monotonic clock, in seconds.
    """

    signature: Signature
    request: str
    lost_at: float


@gateway_components.register("suspicion")
@final
class CrashSuspicion:
    """Correlates lost requests with crashes of their workers.

    A lost answer alone is not a crash. A strike is counted only if the worker is
    then found to be down or restarted.
    """

    after: ClassVar[tuple[str, ...]] = ()

    def __init__(self, node: GatewayNode) -> None:
        self._node = node
        self._lost_requests: dict[str, list[_LostRequest]] = {}
        # A restarted instance numbers its strikes from 1 again, so its start time is
        # part of their origin.
        self._origin = f"{node.settings.instance}/{node.started}"
        self._quarantine = Quarantine(self._origin)
        node.provide(CrashSuspicion, self)

    def start(self) -> None:
        """Do nothing; attempts and peers report to this component."""

    async def stop(self) -> None:
        """Do nothing."""

    def signature_of(self, call: ForwardCall) -> Signature:
        """Return a digest that is equal for equal requests."""
        return sign_request(call.host, call.method, call.target, call.body)

    def refusal(self, signature: Signature) -> Refusal | None:
        """Return the refusal of a quarantined request, or ``None``."""
        remaining = self._quarantine.remaining(signature, self._now())
        if remaining is None:
            return None
        detail = "the same request has crashed several workers"
        retry_after_s = remaining.total_seconds()
        return Refusal(ErrorKind.QUARANTINED, Ran.NO, detail, retry_after_s)

    def record_answered(self, signature: Signature) -> None:
        """Clear the strikes of a request that a worker has answered."""
        self._quarantine.record_answer(signature)

    def record_lost_request(
        self, signature: Signature, request: str, worker: str
    ) -> None:
        """Record a request whose worker closed the connection without an answer."""
        if sum(map(len, self._lost_requests.values())) >= MAX_PENDING_LOSSES:
            self._lost_requests.pop(next(iter(self._lost_requests)))
        lost_request = _LostRequest(signature, request, self._node.clock())
        self._lost_requests.setdefault(worker, []).append(lost_request)

    def record_crash(self, worker: str) -> None:
        """Count a strike for each request lost by the worker within the window.

        The window is ``CRASH_CONFIRMATION_S``.
        """
        now = self._node.clock()
        for lost_request in self._lost_requests.pop(worker, []):
            if now - lost_request.lost_at > CRASH_CONFIRMATION_S:
                continue
            entered = self._quarantine.record_strike(
                lost_request.signature, worker, self._now()
            )
            if entered:
                self._node.sink.emit(
                    RequestQuarantined(
                        lost_request.request, lost_request.signature, worker
                    )
                )

    def record_alive(self, worker: str) -> None:
        """Discard the lost requests of a worker that answers."""
        self._lost_requests.pop(worker, None)

    def strikes(self) -> tuple[Strike, ...]:
        """Return the newest strikes that this instance has recorded."""
        return self._quarantine.strikes_since(0, self._now())[
            -MAX_STRIKES_PER_HEARTBEAT:
        ]

    def merge(self, strikes: tuple[Strike, ...]) -> None:
        """Merge the strikes that another instance has recorded."""
        self._quarantine.merge(strikes, self._now())

    def _now(self) -> timedelta:
        return timedelta(seconds=self._node.clock())
