"""Keeps the quotas of customers together with the other instances."""

from __future__ import annotations

from collections import Counter
from math import inf
from typing import ClassVar
from typing import final

from sycamorenotch_gateway._customer_events import QuotaExceeded
from sycamorenotch_gateway._customer_events import QuotaSharesFrozen
from sycamorenotch_gateway._customer_events import QuotaSharesResumed
from sycamorenotch_gateway._node import GatewayNode
from sycamorenotch_gateway._quota_reports import QuotaReportCodec
from sycamorenotch_gateway._routes import Routes
from sycamorenotch_kernel import Customer
from sycamorenotch_kernel import ErrorKind
from sycamorenotch_kernel import ForwardingConfiguration
from sycamorenotch_kernel import Ran
from sycamorenotch_kernel import Refusal
from sycamorenotch_kernel import gateway_components
from sycamorenotch_policies import Heartbeat
from sycamorenotch_policies.customer_quotas import CustomerQuotas
from sycamorenotch_policies.customer_quotas import QuotaBounds
from sycamorenotch_policies.customer_quotas import QuotaRefusal

# Each customer's refusals are logged at most once in this time, in seconds.
LOG_INTERVAL_S = 1.0
# A caller is asked to wait for no longer than this part of the time it has left.
MAX_WAIT_FRACTION = 1.0 / 3.0


@gateway_components.register("customer-quotas")
@final
class CustomerQuotaGate:
    """Admits requests of customers, and exchanges their demand in heartbeats.

    :ivar report: what the next heartbeats state, or ``None`` if that is nothing.
    :ivar counts: requests by customer and decision, for the metrics.
    """

    after: ClassVar[tuple[str, ...]] = ("routes",)

    def __init__(self, node: GatewayNode) -> None:
        self._node = node
        bounds = node.settings.bounds
        self._quotas = CustomerQuotas(
            QuotaBounds(
                bounds.quota_window.total_seconds(),
                bounds.quota_overage,
                bounds.quota_slack,
            ),
            node.random.random,
            node.clock(),
        )
        self._codec: QuotaReportCodec | None = None
        self._logged_at: dict[str, float] = {}
        self._unlogged: Counter[str] = Counter()
        self._frozen = False
        self.report: bytes | None = None
        self.counts: Counter[tuple[str, str]] = Counter()
        node.require(Routes).subscribe(self._apply_configuration)
        node.provide(CustomerQuotaGate, self)

    def start(self) -> None:
        """Do nothing; the forwarder and the peers call this component."""

    async def stop(self) -> None:
        """Do nothing."""

    def admit(
        self, customer: Customer, now: float, patience_s: float | None = None
    ) -> Refusal | None:
        """Decide on one request of a customer, and count it.

        :param now: monotonic time in seconds.
        :param patience_s: time that the caller has left, in seconds, if it states it.
        :return: why the request is refused, or ``None`` if it is admitted.
        """
        if customer.rate <= 0:
            return None
        refusal = self._quotas.admit(customer.name, now)
        if refusal is None:
            self.counts[customer.name, "admitted"] += 1
            return None
        self.counts[customer.name, "refused"] += 1
        self._log_refusal(customer, refusal, now)
        retry_after_s = refusal.retry_after_s
        if patience_s is not None:
            retry_after_s = min(retry_after_s, patience_s * MAX_WAIT_FRACTION)
        detail = (
            f"customer {customer.name} demands {refusal.demand:.1f} of "
            f"{customer.rate:g} requests per second; the share of this instance is "
            f"{refusal.share:.4f}"
        )
        return Refusal(ErrorKind.QUOTA_EXCEEDED, Ran.NO, detail, retry_after_s)

    def update_report(self, listed: int, interval_s: float, now: float) -> None:
        """Measure the demand that the next heartbeats state.

        :param listed: number of other instances that are listed.
        :param interval_s: longest interval between two heartbeats to one of them.
        """
        self._quotas.set_fleet(listed, interval_s)
        if self._codec is None:
            self._quotas.peers.update(now)
            return
        self.report = self._codec.encode(self._quotas.report(now))
        peers = self._quotas.peers
        if peers.in_minority == self._frozen:
            return
        self._frozen = peers.in_minority
        event = QuotaSharesFrozen if self._frozen else QuotaSharesResumed
        self._node.sink.emit(event(peers.reached, peers.known + peers.missing))

    def learn(self, heartbeat: Heartbeat, now: float) -> None:
        """Record the demand that another instance states.

        :raises ValueError: if it cannot be read.
        """
        stated, reports = heartbeat.quotas, None
        if stated is not None and self._codec is not None:
            reports = self._codec.decode(stated)
        entry = heartbeat.entry
        self._quotas.peers.learn(entry.id, reports, now, leaving=entry.leaving)

    def _apply_configuration(self, configuration: ForwardingConfiguration) -> None:
        self._quotas.configure(configuration.customers, self._node.clock())
        names = self._quotas.names
        self._codec = QuotaReportCodec(names) if names else None
        # The former report refers to the names of the former configuration. Others keep
        # it until the next one.
        self.report = None
        known = {customer.name for customer in configuration.customers}
        for name, decision in [key for key in self.counts if key[0] not in known]:
            del self.counts[name, decision]
        for name in self._logged_at.keys() - known:
            del self._logged_at[name], self._unlogged[name]

    def _log_refusal(
        self, customer: Customer, refusal: QuotaRefusal, now: float
    ) -> None:
        name = customer.name
        self._unlogged[name] += 1
        if now - self._logged_at.get(name, -inf) < LOG_INTERVAL_S:
            return
        self._logged_at[name] = now
        peers = self._quotas.peers
        self._node.sink.emit(
            QuotaExceeded(
                name,
                customer.rate,
                refusal.mode.value,
                round(refusal.share, 5),
                round(refusal.demand, 2),
                round(refusal.debt, 2),
                peers.reached,
                round(peers.oldest_age_s(now), 3),
                self._unlogged.pop(name),
            )
        )
