"""Account of the clients' memory, and the reports of what it closed or refused."""

from __future__ import annotations

from collections import Counter
from functools import partial
from typing import Any
from typing import ClassVar
from typing import final

from sycamorenotch_gateway._client_events import ClientsLimited
from sycamorenotch_gateway._metrics import GatewayMetrics
from sycamorenotch_gateway._node import GatewayNode
from sycamorenotch_gateway._process_memory import SystemMemory
from sycamorenotch_gateway._turns import Turns
from sycamorenotch_kernel import gateway_components
from sycamorenotch_policies.client_memory import ByteKind
from sycamorenotch_policies.client_memory import ClientAccount
from sycamorenotch_policies.client_memory import EvictionReason
from sycamorenotch_policies.client_memory import MachineShare
from sycamorenotch_policies.client_memory import ResidentLimit
from sycamorenotch_policies.client_memory import derive_client_limits
from sycamorenotch_policies.client_memory import derive_own_limits

# A crowd is closed client by client; one line tells of all within this time.
REPORT_INTERVAL_S = 5.0
BYTES_PER_MB = 1_000_000
# Part of the machine's memory that the process may use. The rest is for what is
# allocated between two readings of its resident memory.
USABLE_MEMORY = 0.95


@gateway_components.register("clients")
@final
class Clients:
    """Bounds and reports what the clients of all listeners use.

    :ivar account: of callers and look-ups.
    :ivar own_account: of readiness probes and readers of metrics.
    """

    after: ClassVar[tuple[str, ...]] = ("metrics", "turns")

    def __init__(self, node: GatewayNode) -> None:
        self._node = node
        self._metrics = node.require(GatewayMetrics)
        machine, clients = node.settings.machine, node.settings.clients
        share = MachineShare(
            machine.memory_mb,
            machine.descriptors,
            node.response_buffers.limits.buffered_bytes,
        )
        limits = derive_client_limits(share, clients.max_bytes, clients.connections)
        ceiling_bytes = int(machine.memory_mb * BYTES_PER_MB * USABLE_MEMORY)
        resident = ResidentLimit(limits.total_bytes, ceiling_bytes, SystemMemory())
        self.account = ClientAccount(limits, node.clock, resident)
        node.require(Turns).on_held_back = partial(
            self.record_eviction, EvictionReason.HELD_BACK
        )
        # Apart, so that clients of callers' listeners do not shut out the platform.
        self.own_account = ClientAccount(derive_own_limits(share), node.clock)
        self._unreported: Counter[str] = Counter()
        self._timer: Any = None
        self._metrics.measure_clients(self._measure)
        node.provide(Clients, self)

    def start(self) -> None:
        """Do nothing; the front end serves the clients."""

    async def stop(self) -> None:
        """Report what has not been reported."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
            if self._unreported:
                self._emit()

    def record_eviction(self, reason: str) -> None:
        """Count a client that was closed or refused; the log line may come later."""
        self._metrics.count_evicted_client(reason)
        self._unreported[reason] += 1
        if self._timer is None:
            self._emit()
            self._timer = self._node.reactor.callLater(REPORT_INTERVAL_S, self._report)

    def _report(self) -> None:
        self._timer = None
        if self._unreported:
            self._emit()
            self._timer = self._node.reactor.callLater(REPORT_INTERVAL_S, self._report)

    def _emit(self) -> None:
        counts, self._unreported = self._unreported, Counter()
        account = self.account
        text = ", ".join(f"{reason}: {counts[reason]}" for reason in sorted(counts))
        self._node.sink.emit(
            ClientsLimited(
                text,
                account.used_bytes,
                account.total_bytes,
                account.connections,
                account.requests,
            )
        )

    def _measure(self) -> dict[str, int]:
        """Return the bytes that are held for clients, by their kind."""
        return {kind.name.lower(): self.account.totals[kind] for kind in ByteKind}
