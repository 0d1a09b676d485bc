"""What instances tell the holder about the upstream workers near them."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from collections.abc import Iterator
from datetime import timedelta
from typing import final

from sycamorenotch_daemon._node import Node
from sycamorenotch_daemon._plan_messages import WorkerObservation
from sycamorenotch_daemon._upstreams import Upstreams
from sycamorenotch_kernel import Environment
from sycamorenotch_kernel import InstanceId
from sycamorenotch_policies import WorkerReport
from sycamorenotch_policies import WorkerState

SHARE_SCALE = 1000
MILLISECOND = timedelta(milliseconds=1)
NO_LOAD = -1


def news_of_workers(node: Node) -> tuple[WorkerObservation, ...]:
    """Return what this instance knows of the workers of its own region.

    Another region's workers are left to the instances there, which a cut
    between the regions does not keep from them.
    """
    upstreams = node.find(Upstreams)
    current = node.configuration.current
    if upstreams is None or current is None:
        return ()
    now = node.clock.monotonic()
    return tuple(_news(upstreams, node.settings.region, current.environment, now))


def _news(
    upstreams: Upstreams, region: str, environment: Environment, now: timedelta
) -> Iterator[WorkerObservation]:
    for service in sorted(environment.services):
        choice = upstreams.choice(service)
        if choice is None:
            continue
        for state in choice.table.states.values():
            if state.worker.region == region:
                yield _describe(state, now)


def _describe(state: WorkerState, now: timedelta) -> WorkerObservation:
    report = state.report
    return WorkerObservation(
        worker=state.worker.name,
        usable=state.is_usable,
        load=NO_LOAD
        if report is None
        else round(report.running * SHARE_SCALE / max(1, report.slots)),
        age=0 if report is None else (now - report.at) // MILLISECOND,
        failures=round(state.failure_share * SHARE_SCALE),
    )


@final
class FleetWorkers:
    """The last news of every worker from each instance."""

    def __init__(self) -> None:
        self._news: dict[InstanceId, tuple[WorkerObservation, ...]] = {}
        self._at: dict[InstanceId, timedelta] = {}

    def report(
        self, instance: InstanceId, news: tuple[WorkerObservation, ...], now: timedelta
    ) -> None:
        """Replace the news from an instance."""
        self._news[instance] = news
        self._at[instance] = now

    def reports(
        self, listed: Iterable[InstanceId], now: timedelta
    ) -> tuple[WorkerReport, ...]:
        """Return one report for each worker that any listed instance knows."""
        present = set(listed)
        self._news = {n: items for n, items in self._news.items() if n in present}
        self._at = {n: at for n, at in self._at.items() if n in present}
        found: defaultdict[str, list[tuple[WorkerObservation, timedelta]]] = (
            defaultdict(list)
        )
        for instance, items in self._news.items():
            silence = now - self._at[instance]
            for item in items:
                found[item.worker].append((item, silence + item.age * MILLISECOND))
        return tuple(_merge(name, found[name]) for name in sorted(found))


def _merge(
    worker: str, news: list[tuple[WorkerObservation, timedelta]]
) -> WorkerReport:
    # One instance that cannot reach a worker does not take it out for all.
    newest, age = min(news, key=lambda pair: pair[1])
    failures = sum(item.failures for item, _ in news) / len(news) / SHARE_SCALE
    return WorkerReport(
        worker=worker,
        usable=any(item.usable for item, _ in news),
        load=None if newest.load == NO_LOAD else newest.load / SHARE_SCALE,
        age=age,
        failures=failures,
    )
