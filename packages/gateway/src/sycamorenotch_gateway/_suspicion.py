"""Quarantines requests that crash the workers that run them."""

from __future__ import annotations

from datetime import timedelta
from typing import Any
from typing import ClassVar
from typing import TypeVar
from typing import final

from sycamorenotch_gateway._events import QuarantineEnded
from sycamorenotch_gateway._events import RequestQuarantined
from sycamorenotch_gateway._events import RequestStruck
from sycamorenotch_gateway._node import GatewayNode
from sycamorenotch_gateway._worker_events import WorkerProbed
from sycamorenotch_kernel import ErrorKind
from sycamorenotch_kernel import ForwardCall
from sycamorenotch_kernel import Ran
from sycamorenotch_kernel import Refusal
from sycamorenotch_kernel import WorkerEntry
from sycamorenotch_kernel import gateway_components
from sycamorenotch_policies import AnsweredRequest
from sycamorenotch_policies import CrashEvidence
from sycamorenotch_policies import LostRequest
from sycamorenotch_policies import ProbeResult
from sycamorenotch_policies import Quarantine
from sycamorenotch_policies import Signature
from sycamorenotch_policies import Strike
from sycamorenotch_policies import sign_request
from sycamorenotch_transport import probe_address

# A suspected worker is probed so long after the loss: the requests that others lost at
# the same time are known by then, and a crashed worker is not back yet.
PROBE_DELAY_S = 0.3
PROBE_TIMEOUT_S = 0.5
# Bound on probes under way; other suspicions wait for what the store shows.
MAX_PROBES = 8
_Item = TypeVar("_Item")
PROBE_RESULTS = {
    True: ProbeResult.CONNECTED,
    False: ProbeResult.REFUSED,
    None: ProbeResult.SILENT,
}
# Each strike is sent in several heartbeats, so one lost datagram loses no strike. More
# would not fit into a datagram beside everything else.
MAX_STRIKES_PER_HEARTBEAT = 8
MAX_ANSWERED_PER_HEARTBEAT = 8


@gateway_components.register("suspicion")
@final
class CrashSuspicion:
    """Correlates lost requests with crashes of their workers.

    A lost answer alone is not a crash. A strike is counted only if the worker is
    then found to be down, restarted or removed. To find out, it is probed once, since
    there may be no other traffic to it.
    """

    after: ClassVar[tuple[str, ...]] = ()

    def __init__(self, node: GatewayNode) -> None:
        self._node = node
        self._evidence = CrashEvidence()
        # Timers of the probes that wait, by worker; they stay while the probe runs.
        self._probes: dict[str, Any] = {}
        # A restarted instance numbers its strikes from 1 again, so its start time is
        # part of their origin.
        self._origin = f"{node.settings.instance}/{node.started}"
        self._quarantine = Quarantine(self._origin)
        node.provide(CrashSuspicion, self)

    def start(self) -> None:
        """Do nothing; attempts and peers report to this component."""

    async def stop(self) -> None:
        """Cancel the probes that wait."""
        for timer in self._probes.values():
            if timer.active():
                timer.cancel()

    def signature_of(self, call: ForwardCall) -> Signature:
        """Return a digest that is equal for equal requests.

        Requests of different customers differ, as a worker is told of the customer.
        """
        return sign_request(
            call.host, call.method, call.target, call.body, call.key_digest
        )

    def refusal(self, signature: Signature) -> Refusal | None:
        """Return the refusal of a quarantined request, or ``None``."""
        remaining = self._quarantine.remaining(signature, self._now())
        if remaining is None:
            return None
        detail = "the same request has crashed several workers"
        retry_after_s = remaining.total_seconds()
        return Refusal(ErrorKind.QUARANTINED, Ran.NO, detail, retry_after_s)

    def record_answered(self, signature: Signature) -> None:
        """Clear a request that a worker has answered of the crashes before."""
        if self._quarantine.record_answer(signature, self._now()):
            self._node.sink.emit(QuarantineEnded(signature))

    def record_lost_request(
        self, signature: Signature, request: str, worker: WorkerEntry
    ) -> None:
        """Record a request whose worker closed the connection without an answer."""
        now = self._node.clock()
        lost = LostRequest(signature, request, worker.id, now, worker.incarnation)
        wanted = self._evidence.record_loss(lost, worker.address, worker.data_centre)
        waits = worker.id in self._probes
        if wanted and not waits and len(self._probes) < MAX_PROBES:
            self._evidence.start_probe(worker.id)
            self._probes[worker.id] = self._node.reactor.callLater(
                PROBE_DELAY_S, self._probe, worker
            )

    def _probe(self, worker: WorkerEntry) -> None:
        if not self._evidence.is_suspect(worker.id):
            # It has answered in the meantime, or is known to be down.
            self._probes.pop(worker.id, None)
            return
        probing = probe_address(self._node.reactor, worker.address, PROBE_TIMEOUT_S)

        def record(accepted: bool | None) -> None:
            self._probes.pop(worker.id, None)
            result = PROBE_RESULTS[accepted]
            self._node.sink.emit(WorkerProbed(worker.id, worker.service, result.value))
            now = self._node.clock()
            self._strike(self._evidence.record_probe(worker.id, result, now))

        probing.addCallback(record)

    def record_refused(self, worker: str) -> None:
        """Count strikes if a worker refuses connections after it lost requests."""
        now = self._node.clock()
        self._strike(self._evidence.record_refused(worker, now))

    def record_restarted(self, worker: str) -> None:
        """Count strikes if a worker starts again, or is gone from its address."""
        now = self._node.clock()
        self._strike(self._evidence.record_restarted(worker, now))

    def record_removed(self, worker: str) -> None:
        """Count strikes if the entry of a worker is removed that was not leaving."""
        now = self._node.clock()
        self._strike(self._evidence.record_removed(worker, now))

    def record_replaced(self, entry: WorkerEntry) -> None:
        """Count strikes if a worker has the address of another that lost requests."""
        lost = self._evidence.record_replaced(
            entry.address, entry.id, self._node.clock()
        )
        self._strike(lost)

    def _strike(self, lost: tuple[LostRequest, ...]) -> None:
        """Count the crash of a worker against each request that it ran."""
        for item in lost:
            counted = self._quarantine.crash_count(item.signature)
            entered = self._quarantine.record_strike(
                item.signature,
                item.worker,
                self._now(),
                timedelta(seconds=item.lost_at),
                item.incarnation,
            )
            if self._quarantine.crash_count(item.signature) > counted:
                lost_s = self._node.clock() - item.lost_at
                self._report_strike(item.signature, item.worker, self._origin, lost_s)
            if entered:
                self._node.sink.emit(
                    RequestQuarantined(item.request, item.signature, item.worker)
                )

    def record_alive(self, worker: str, asked_at: float) -> None:
        """Discard what a worker lost before a request that it has answered."""
        self._evidence.record_alive(worker, asked_at)

    def forget(self, worker: str) -> None:
        """Discard the lost requests of a worker that is leaving."""
        self._evidence.forget(worker)

    def strikes(self) -> tuple[Strike, ...]:
        """Return strikes of this instance for one heartbeat.

        If there are more than one can hold, chance chooses, so that all get their turn.
        """
        strikes = self._quarantine.strikes_since(0, self._now())
        return self._sample(strikes, MAX_STRIKES_PER_HEARTBEAT)

    def _sample(self, items: tuple[_Item, ...], limit: int) -> tuple[_Item, ...]:
        if len(items) <= limit:
            return items
        return tuple(self._node.random.sample(items, limit))

    def merge(self, strikes: tuple[Strike, ...]) -> None:
        """Merge the strikes that another instance has recorded."""
        for strike in strikes:
            counted = self._quarantine.crash_count(strike.signature)
            entered = self._quarantine.merge((strike,), self._now())
            if self._quarantine.crash_count(strike.signature) > counted:
                lost_s = strike.age.total_seconds()
                self._report_strike(
                    strike.signature, strike.worker, strike.origin, lost_s
                )
            if entered:
                self._node.sink.emit(
                    RequestQuarantined("", strike.signature, strike.worker)
                )

    def answered(self) -> tuple[AnsweredRequest, ...]:
        """Return requests that answers have cleared here, for one heartbeat."""
        answered = self._quarantine.answered(self._now())
        return self._sample(answered, MAX_ANSWERED_PER_HEARTBEAT)

    def merge_answered(self, answered: tuple[AnsweredRequest, ...]) -> None:
        """Clear the requests that were answered at another instance."""
        for signature in self._quarantine.merge_answered(answered, self._now()):
            self._node.sink.emit(QuarantineEnded(signature))

    def _report_strike(
        self, signature: Signature, worker: str, origin: str, lost_s: float
    ) -> None:
        counted = self._quarantine.crash_count(signature)
        self._node.sink.emit(
            RequestStruck(signature, worker, origin, round(lost_s, 3), counted)
        )

    def _now(self) -> timedelta:
        return timedelta(seconds=self._node.clock())
