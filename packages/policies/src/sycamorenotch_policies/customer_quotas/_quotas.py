"""Admission by the quotas of all customers at one instance."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from dataclasses import replace
from typing import final

from sycamorenotch_kernel import Customer
from sycamorenotch_policies.customer_quotas._customer import CustomerAdmission
from sycamorenotch_policies.customer_quotas._customer import QuotaRefusal
from sycamorenotch_policies.customer_quotas._demand import NO_DEMAND
from sycamorenotch_policies.customer_quotas._demand import CustomerDemand
from sycamorenotch_policies.customer_quotas._demand import DemandReport
from sycamorenotch_policies.customer_quotas._demand import report_delay_s
from sycamorenotch_policies.customer_quotas._knowledge import PeerKnowledge
from sycamorenotch_policies.customer_quotas._limits import QuotaBounds
from sycamorenotch_policies.customer_quotas._limits import quota_limits
from sycamorenotch_policies.customer_quotas._share import Fleet
from sycamorenotch_policies.customer_quotas._share import compute_share

REFRESH_INTERVAL_S = 0.25
# Time in seconds that the first heartbeats of others may take after the start. Without
# them, an instance admits an even part of the quota of this many seconds.
START_PERIOD_S = 2.0
START_TOKENS_S = 1.0
# Bounds a heartbeat; the customers with the smallest part of their quota are left out.
MAX_REPORTED = 160
# Less demand than this says nothing: one request in more than a minute.
MIN_REPORTED = 0.01
MIN_REPORTED_PART = 0.0005


@final
class CustomerQuotas:
    """Admits requests of customers within their quotas.

    All times are seconds on the monotonic clock.

    :param random: returns a number from 0 up to 1.
    """

    def __init__(
        self, bounds: QuotaBounds, random: Callable[[], float], now: float
    ) -> None:
        self._bounds = bounds
        self._random = random
        self._began_at = now
        self._customers: dict[str, Customer] = {}
        self._admissions: dict[str, CustomerAdmission] = {}
        self._observed_since: dict[str, float] = {}
        self.peers = PeerKnowledge(bounds.window_s, now)
        self._report_delay_s = report_delay_s(1.0)

    def configure(self, customers: Iterable[Customer], now: float) -> None:
        """Apply a configuration; a changed quota starts anew at once."""
        limited = {c.name: c for c in customers if c.rate > 0}
        former, self._admissions = self._admissions, {}
        for name, customer in limited.items():
            admission = former.get(name)
            known = self._customers.get(name)
            if known is None:
                self._observed_since[name] = now
            if admission is not None and known is not None:
                unchanged = _quota(customer) == _quota(known)
                self._admissions[name] = (
                    admission if unchanged else self._restart(customer, admission, now)
                )
        for name in self._observed_since.keys() - limited.keys():
            del self._observed_since[name]
        self._customers = limited

    def set_fleet(self, listed: int, interval_s: float) -> None:
        """Set how many other instances there are, and how often each is heard from.

        :param listed: number of instances that are listed, without this one.
        :param interval_s: longest interval between two heartbeats of one.
        """
        self.peers.set_fleet(listed, interval_s)
        self._report_delay_s = report_delay_s(interval_s)

    def admit(self, name: str, now: float) -> QuotaRefusal | None:
        """Count one request of a customer, and decide on it."""
        customer = self._customers.get(name)
        if customer is None:
            return None
        admission = self._admissions.get(name)
        if admission is None:
            admission = self._start(customer, now)
        admission.demand.record(now)
        if admission.needs_update(now):
            self._refresh(customer, admission, now)
        return admission.admit(now, self._random)

    def report(self, now: float) -> dict[str, DemandReport]:
        """Return the demand that the next heartbeats state, and count it as reported.

        Customers that are left out count as having no demand.
        """
        self.peers.update(now)
        found: dict[str, DemandReport] = {}
        for name, admission in self._admissions.items():
            demand = self._demand(name, admission, now)
            if demand.fast >= MIN_REPORTED or demand.part >= MIN_REPORTED_PART:
                found[name] = demand
            self._refresh(self._customers[name], admission, now)
        if len(found) > MAX_REPORTED:
            largest = sorted(found, key=self._part_of_quota(found), reverse=True)
            found = {name: found[name] for name in largest[:MAX_REPORTED]}
        for name, admission in self._admissions.items():
            admission.demand.record_report(found.get(name, NO_DEMAND).part, now)
        return found

    @property
    def names(self) -> tuple[str, ...]:
        """Names of the customers with a quota, in order."""
        return tuple(sorted(self._customers))

    def _part_of_quota(self, found: dict[str, DemandReport]) -> Callable[[str], float]:
        return lambda name: found[name].fast / self._customers[name].rate

    def _demand(
        self, name: str, admission: CustomerAdmission, now: float
    ) -> DemandReport:
        """Return the own demand, with the former part if others may not learn it.

        A part that rises while they do not would make the shares exceed the quota.
        """
        demand = admission.demand.read(self.peers.sums(name).all_fast, now)
        if not self.peers.in_minority:
            return demand
        former = admission.demand.former(now - self._report_delay_s)
        return replace(demand, part=former)

    def _restart(
        self, customer: Customer, former: CustomerAdmission, now: float
    ) -> CustomerAdmission:
        """Return the admission by a changed quota, which has nothing saved up."""
        limits = quota_limits(customer.rate, customer.burst, self._bounds)
        return CustomerAdmission(limits, former.demand, 0.0, 0.0, now, now)

    def _start(self, customer: Customer, now: float) -> CustomerAdmission:
        limits = quota_limits(customer.rate, customer.burst, self._bounds)
        even = limits.rate / (1 + self.peers.known + self.peers.missing)
        admission = CustomerAdmission(
            limits,
            CustomerDemand(customer.rate, self._observed_since[customer.name]),
            limits.depth,
            max(1.0, even * START_TOKENS_S),
            self._began_at + START_PERIOD_S,
            now,
        )
        self._admissions[customer.name] = admission
        return admission

    def _refresh(
        self, customer: Customer, admission: CustomerAdmission, now: float
    ) -> None:
        peers = self.peers
        sums = peers.sums(customer.name)
        own = self._demand(customer.name, admission, now)
        fleet = Fleet(peers.known, peers.reached, peers.missing, peers.in_minority)
        confirmed = admission.demand.confirmed(now - self._report_delay_s)
        share = compute_share(own, confirmed, sums, fleet)
        # An instance that is alone knows all demand.
        if fleet.known + fleet.missing == 0:
            share = replace(share, own=1.0)
        admission.update(share, now)
        admission.refresh_at = now + REFRESH_INTERVAL_S


def _quota(customer: Customer) -> tuple[float, float]:
    return customer.rate, customer.burst
