"""Acquires and renews the lease of the instance that makes the plan."""

from __future__ import annotations

from datetime import timedelta
from typing import ClassVar
from typing import final

from expression import Result

from sycamorenotch_daemon._background import make_periodic_task
from sycamorenotch_daemon._instances import InstanceView
from sycamorenotch_daemon._lease_codec import LEASE_KIND
from sycamorenotch_daemon._lease_codec import decode_lease
from sycamorenotch_daemon._lease_codec import encode_lease
from sycamorenotch_daemon._lease_events import LeaseAcquired
from sycamorenotch_daemon._lease_events import LeaseLost
from sycamorenotch_daemon._lease_events import LeaseReleased
from sycamorenotch_daemon._lease_events import LeaseStoreFailed
from sycamorenotch_daemon._node import Node
from sycamorenotch_kernel import InstanceId
from sycamorenotch_kernel import StoredObject
from sycamorenotch_kernel import StoreError
from sycamorenotch_kernel import StoreFault
from sycamorenotch_kernel import components
from sycamorenotch_policies import Lease
from sycamorenotch_policies import LeaseCommand
from sycamorenotch_policies import LeaseFailed
from sycamorenotch_policies import LeaseFound
from sycamorenotch_policies import LeaseMissing
from sycamorenotch_policies import LeaseResult
from sycamorenotch_policies import LeaseWritten
from sycamorenotch_policies import ReadLease
from sycamorenotch_policies import lease_candidates

LEASE_DURATION = timedelta(seconds=6)
STEP_INTERVAL = LEASE_DURATION / 3
CALL_TIMEOUT = timedelta(seconds=1)
MAX_BACKOFF = timedelta(seconds=30)
MAX_BACKOFF_DOUBLINGS = 6


@components.register("lease")
@final
class PlanLease:
    """Acquires, renews and releases the lease.

    Only the holder and a few candidates, chosen by rendezvous hashing, call the
    store.
    """

    after: ClassVar[tuple[str, ...]] = ("instances",)

    def __init__(self, node: Node) -> None:
        self._node = node
        self._name = f"plan.{node.settings.environment}"
        self._lease = Lease(InstanceId(node.settings.instance), LEASE_DURATION)
        self._loop = make_periodic_task(node.reactor, node.sink, self._turn)
        self._failures = 0
        self._acting_term: int | None = None
        node.provide(PlanLease, self)

    @property
    def term(self) -> int:
        """The newest observed term, or 0."""
        return self._lease.term

    @property
    def holder(self) -> InstanceId | None:
        """The newest observed holder, if any."""
        return self._lease.holder

    def is_held(self) -> bool:
        """Return whether this instance may act as the holder at this moment."""
        return self._lease.is_held(self._node.clock.monotonic())

    async def start(self) -> None:
        """Start the loop, with the first step after a random part of the interval."""
        self._loop.start(self._node.random.random() * STEP_INTERVAL)

    async def stop(self) -> None:
        """Stop, and release the lease if it is held."""
        self._loop.stop()
        now = self._node.clock.monotonic()
        command = self._lease.release(now, self._node.ids.attempt())
        if command is not None:
            self._apply(await self._execute(command))
            self._node.sink.emit(LeaseReleased(self._name, self._lease.term))

    async def step(self) -> None:
        """Read or write the lease once, if this instance is a candidate or holder."""
        candidate = self._is_candidate()
        if candidate or self._acting_term is not None:
            now = self._node.clock.monotonic()
            attempt = self._node.ids.attempt()
            command = self._lease.step(now, attempt, candidate=candidate)
            self._apply(await self._execute(command))
        self._report_acting_term()

    async def _turn(self) -> timedelta:
        await self.step()
        return self._next_delay()

    def _next_delay(self) -> timedelta:
        if not self._failures:
            return STEP_INTERVAL * (0.8 + 0.2 * self._node.random.random())
        factor: int = 2 ** min(self._failures, MAX_BACKOFF_DOUBLINGS)
        max_delay = min(STEP_INTERVAL * factor / 2, MAX_BACKOFF)
        return STEP_INTERVAL / 4 + max_delay * self._node.random.random()

    def _is_candidate(self) -> bool:
        instances = self._node.require(InstanceView).instances()  # type: ignore[type-abstract]
        own_id = InstanceId(self._node.settings.instance)
        return not self._node.stopping and own_id in lease_candidates(
            self._name, instances
        )

    def _apply(self, event: LeaseResult) -> None:
        self._lease.apply_result(event, self._node.clock.monotonic())
        if not isinstance(event, LeaseFailed):
            self._failures = 0
            return
        if not self._failures:
            self._node.sink.emit(LeaseStoreFailed(self._name, event.detail))
        self._failures += 1

    def _report_acting_term(self) -> None:
        term = self._lease.term if self.is_held() else None
        if term == self._acting_term:
            return
        if self._acting_term is not None:
            holder = self._lease.holder or ""
            self._node.sink.emit(LeaseLost(self._name, self._acting_term, holder))
        if term is not None:
            self._node.sink.emit(LeaseAcquired(self._name, term))
        self._acting_term = term

    async def _execute(self, command: LeaseCommand) -> LeaseResult:
        store = self._node.store
        if isinstance(command, ReadLease):
            return _read_result(await store.get(LEASE_KIND, self._name, CALL_TIMEOUT))
        value = encode_lease(command.record)
        if command.expected is None:
            return _write_result(
                await store.create(LEASE_KIND, self._name, value, CALL_TIMEOUT)
            )
        return _write_result(
            await store.update(
                LEASE_KIND, self._name, value, command.expected, CALL_TIMEOUT
            )
        )


def _read_result(result: Result[StoredObject, StoreError]) -> LeaseResult:
    if result.is_ok():
        return _decode_found(result.ok)
    if result.error.fault is StoreFault.NOT_FOUND:
        return LeaseMissing()
    return LeaseFailed(f"{result.error.fault.value}: {result.error.detail}")


def _write_result(result: Result[StoredObject, StoreError]) -> LeaseResult:
    if result.is_ok():
        return LeaseWritten(result.ok.version)
    current = result.error.current
    if result.error.fault is StoreFault.CONFLICT and current is not None:
        return _decode_found(current)
    return _read_result(result)


def _decode_found(stored: StoredObject) -> LeaseResult:
    decoded = decode_lease(stored.value)
    if decoded.is_error():
        return LeaseFailed(decoded.error)
    return LeaseFound(decoded.ok, stored.version)
