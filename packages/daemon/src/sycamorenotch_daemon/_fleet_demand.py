"""Demand of the whole fleet, summed over the reports of the instances."""

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
    """The last report of each instance."""

    def __init__(self) -> None:
        self._reports: dict[InstanceId, tuple[DemandReport, ...]] = {}
        self._at: dict[InstanceId, timedelta] = {}

    def report(
        self, instance: InstanceId, demands: tuple[DemandReport, ...], now: timedelta
    ) -> None:
        """Replace the report of an instance."""
        self._reports[instance] = demands
        self._at[instance] = now

    def total(
        self, environment: Environment, listed: Iterable[InstanceId], now: timedelta
    ) -> tuple[Demand, ...]:
        """Return the demand, or nothing while a listed instance is unheard.

        :param listed: instances that the platform's list names.
        """
        present = set(listed)
        self._reports = {n: r for n, r in self._reports.items() if n in present}
        self._at = {n: at for n, at in self._at.items() if n in present}
        if present - self._reports.keys():
            return ()
        age = now - min(self._at.values(), default=now)
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
