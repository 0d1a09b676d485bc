"""Demand of the whole fleet, summed over the instances' reports."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from datetime import timedelta
from itertools import product
from typing import final

from sycamorenotch_daemon._demand import REPORT_SCALE_S
from sycamorenotch_daemon._plan_messages import DemandReport
from sycamorenotch_kernel import Environment
from sycamorenotch_kernel import InstanceId
from sycamorenotch_kernel import Rank
from sycamorenotch_policies import Demand


@final
class FleetDemand:
    """Keeps the last demand report of each instance."""

    def __init__(self) -> None:
        self._reports: dict[InstanceId, tuple[DemandReport, ...]] = {}
        self._reported_at: dict[InstanceId, timedelta] = {}

    def report(
        self, instance: InstanceId, demands: tuple[DemandReport, ...], now: timedelta
    ) -> None:
        """Replace the report of an instance."""
        self._reports[instance] = demands
        self._reported_at[instance] = now

    def total(
        self, environment: Environment, listed: Iterable[InstanceId], now: timedelta
    ) -> tuple[Demand, ...]:
        """Return the total demand.

        Reports of instances that are no longer listed are discarded.

        :param listed: instances in the platform's list.
        :return: demand of every served rank and region; empty while a listed
            instance has not reported.
        """
        present = set(listed)
        self._reports = {n: r for n, r in self._reports.items() if n in present}
        self._reported_at = {
            n: at for n, at in self._reported_at.items() if n in present
        }
        if present - self._reports.keys():
            return ()
        age = now - min(self._reported_at.values(), default=now)
        rates = Counter[tuple[str, str, Rank]]()
        for item in (d for reports in self._reports.values() for d in reports):
            rates[item.service, item.source, item.rank] += item.rate
        served = {(route.service, route.rank) for route in environment.routes}
        return tuple(
            Demand(
                service,
                source,
                rank,
                rates[service, source, rank] / REPORT_SCALE_S,
                age,
            )
            for (service, rank), source in product(sorted(served), environment.regions)
        )
