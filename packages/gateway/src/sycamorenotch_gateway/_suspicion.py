"""Holds back requests that crash the workers that run them."""

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

# A crash shows by refused connections or a new start soon after the request.
CONFIRM_S = 5.0
# Lost requests that wait for a sign of a crash; the oldest are forgotten.
MOST_PENDING = 256
# Strikes in one datagram; each is told several times.
TOLD_STRIKES = 12


@final
@dataclass(frozen=True, slots=True)
class _Lost:
    """A request whose worker broke off without an answer."""

    signature: Signature
    request: str
    at: float


@gateway_components.register("suspicion")
@final
class Suspicion:
    """Links requests that were lost to crashes of their workers.

    A lost answer is no crash: a strike counts when the worker is found down or
    started anew afterwards.
    """

    after: ClassVar[tuple[str, ...]] = ()

    def __init__(self, node: GatewayNode) -> None:
        self._node = node
        self._lost: dict[str, list[_Lost]] = {}
        # A restarted instance counts its strikes from 1 again.
        self._origin = f"{node.settings.instance}/{node.started}"
        self._quarantine = Quarantine(self._origin)
        node.provide(Suspicion, self)

    def start(self) -> None:
        """Do nothing; attempts and peers bring the news."""

    async def stop(self) -> None:
        """Do nothing."""

    def sign(self, call: ForwardCall) -> Signature:
        """Return a digest of what a request asks for."""
        return sign_request(call.host, call.method, call.target, call.body)

    def refusal(self, signature: Signature) -> Refusal | None:
        """Return why a request is held back, if it is."""
        remaining = self._quarantine.remaining(signature, self._now())
        if remaining is None:
            return None
        detail = "the same request has crashed several workers"
        seconds = remaining.total_seconds()
        return Refusal(ErrorKind.QUARANTINED, Ran.NO, detail, seconds)

    def answered(self, signature: Signature) -> None:
        """Clear a request that a worker has answered."""
        self._quarantine.record_answer(signature)

    def lost(self, signature: Signature, request: str, worker: str) -> None:
        """Take note of a request whose worker broke off without an answer."""
        if sum(map(len, self._lost.values())) >= MOST_PENDING:
            self._lost.pop(next(iter(self._lost)))
        found = _Lost(signature, request, self._node.clock())
        self._lost.setdefault(worker, []).append(found)

    def crashed(self, worker: str) -> None:
        """Count a strike for each request that its worker lost lately."""
        now = self._node.clock()
        for found in self._lost.pop(worker, []):
            if now - found.at > CONFIRM_S:
                continue
            entered = self._quarantine.record_strike(
                found.signature, worker, self._now()
            )
            if entered:
                self._node.sink.emit(
                    RequestQuarantined(found.request, found.signature, worker)
                )

    def alive(self, worker: str) -> None:
        """Drop what was suspected of a worker that answers."""
        self._lost.pop(worker, None)

    def strikes(self) -> tuple[Strike, ...]:
        """Return the newest strikes seen here."""
        return self._quarantine.strikes_since(0, self._now())[-TOLD_STRIKES:]

    def merge(self, strikes: tuple[Strike, ...]) -> None:
        """Count the strikes that another instance saw."""
        self._quarantine.merge(strikes, self._now())

    def _now(self) -> timedelta:
        return timedelta(seconds=self._node.clock())
