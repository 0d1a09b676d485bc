"""Measures the callers' demand by service, client region and rank."""

from __future__ import annotations

from collections import Counter
from collections import deque
from datetime import timedelta
from ipaddress import ip_address
from typing import ClassVar
from typing import final

from sycamorenotch_daemon._node import Node
from sycamorenotch_daemon._node import ServedConfiguration
from sycamorenotch_daemon._plan_messages import DemandReport
from sycamorenotch_kernel import Call
from sycamorenotch_kernel import CallResult
from sycamorenotch_kernel import Proceed
from sycamorenotch_kernel import Rank
from sycamorenotch_kernel import call_stages
from sycamorenotch_policies import BlockTable

WINDOW_PERIODS = 5
# Demand is reported as a whole number of requests in this many seconds.
REPORT_SCALE_S = 1000

DemandKey = tuple[str, str, Rank]


@final
class DemandCounter:
    """Request rates over a sliding window of the last report periods."""

    def __init__(self, now: timedelta) -> None:
        self._current: Counter[DemandKey] = Counter()
        self._periods: deque[tuple[timedelta, Counter[DemandKey]]] = deque(
            maxlen=WINDOW_PERIODS
        )
        self._period_start = now

    def count(self, key: DemandKey) -> None:
        """Count one request."""
        self._current[key] += 1

    def report(self, now: timedelta) -> tuple[DemandReport, ...]:
        """End the current period and return the non-zero rates of the window."""
        self._periods.append((now - self._period_start, self._current))
        self._current, self._period_start = Counter(), now
        span = sum((length for length, _ in self._periods), timedelta())
        seconds = span.total_seconds()
        if not seconds:
            return ()
        total = sum((counts for _, counts in self._periods), Counter())
        return tuple(
            DemandReport(*key, round(count * REPORT_SCALE_S / seconds))
            for key, count in sorted(total.items())
        )


@call_stages.register("demand")
@final
class DemandStage:
    """Counts every call, including calls that later stages refuse."""

    after: ClassVar[tuple[str, ...]] = ()

    def __init__(self, node: Node) -> None:
        self._own_region = node.settings.region
        self._counter = DemandCounter(node.clock.monotonic())
        self._blocks: BlockTable | None = None
        self._regions: tuple[str, ...] = ()
        node.provide(DemandCounter, self._counter)
        node.configuration.subscribe(self._on_configuration)

    async def run(self, call: Call, proceed: Proceed) -> CallResult:
        """Count the call and forward it to the next stage."""
        source = self._region_of(call.client)
        self._counter.count((call.route.service, source, call.rank))
        return await proceed(call)

    def _on_configuration(self, in_force: ServedConfiguration) -> None:
        regions = in_force.environment.regions
        self._regions = tuple(regions)
        self._blocks = BlockTable(
            (block, index)
            for index, region in enumerate(regions.values())
            for block in region.client_blocks
        )

    def _region_of(self, client: str) -> str:
        region_index = (
            None if self._blocks is None else self._blocks.find(ip_address(client))
        )
        return self._own_region if region_index is None else self._regions[region_index]
