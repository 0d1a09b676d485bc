"""Metrics of one daemon and the event sinks that feed them."""

from __future__ import annotations

from collections.abc import Sequence
from datetime import timedelta
from typing import ClassVar
from typing import final

from aioprometheus import Counter
from aioprometheus import Gauge
from aioprometheus import Histogram
from aioprometheus import render
from aioprometheus.collectors import Registry

from sycamorenotch_daemon._calls import CallPipeline
from sycamorenotch_daemon._node import Node
from sycamorenotch_daemon._store_guard import StoreCalls
from sycamorenotch_kernel import Call
from sycamorenotch_kernel import CallResult
from sycamorenotch_kernel import Event
from sycamorenotch_kernel import EventSink
from sycamorenotch_kernel import components

TEXT_FORMAT = "text/plain; version=0.0.4"
LATENCY_BUCKETS_S = (
    *(0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5),
    *(1.0, 2.0, 5.0, 10.0, 30.0, float("inf")),
)


@final
class Metrics:
    """Counters, gauges and histograms of one daemon.

    They have a registry of their own, as several daemons may share a process.
    """

    def __init__(self) -> None:
        self._registry = Registry()
        registry_argument = {"registry": self._registry}
        self.calls = Counter(
            "sycamorenotch_calls_total",
            "Calls by service, rank and outcome.",
            **registry_argument,
        )
        self.latency = Histogram(
            "sycamorenotch_call_seconds",
            "Time from a call's last byte in to its answer.",
            buckets=LATENCY_BUCKETS_S,
            **registry_argument,
        )
        self.events = Counter(
            "sycamorenotch_events_total",
            "Events by number and name.",
            **registry_argument,
        )
        self.violations = Counter(
            "sycamorenotch_invariant_violations_total",
            "Violations by invariant.",
            **registry_argument,
        )
        self.store_calls = Counter(
            "sycamorenotch_store_calls_total",
            "Store calls by kind and result.",
            **registry_argument,
        )
        self.generation = Gauge(
            "sycamorenotch_generation_in_force",
            "Configuration generation.",
            **registry_argument,
        )
        self.in_flight = Gauge(
            "sycamorenotch_calls_in_flight",
            "Calls without an answer yet.",
            **registry_argument,
        )

    def render(self, accept: Sequence[str]) -> tuple[bytes, dict[str, str]]:
        """Return the metrics page and its response headers.

        :param accept: values of the Accept header; the text format if empty.
        """
        return render(self._registry, list(accept) or [TEXT_FORMAT])


@final
class MetricsSink:
    """Counts events by number."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics

    def emit(self, event: Event) -> None:
        """Count one event."""
        self._metrics.events.inc({"number": str(event.number), "event": event.name})


@final
class FanOutSink:
    """Forwards each event to several sinks."""

    def __init__(self, *sinks: EventSink) -> None:
        self._sinks = sinks

    def emit(self, event: Event) -> None:
        """Forward one event."""
        for sink in self._sinks:
            sink.emit(event)


@components.register("metrics")
@final
class MetricsPage:
    """Measures every call and renders the metrics page."""

    after: ClassVar[tuple[str, ...]] = ("calls",)

    def __init__(self, node: Node) -> None:
        self._node = node
        self._metrics = node.require(Metrics)
        self._calls = node.require(CallPipeline)
        self._calls.observe(self._on_call)
        node.provide(MetricsPage, self)

    async def start(self) -> None:
        """Do nothing; the metrics page is served by the callers' front end."""

    async def stop(self) -> None:
        """Do nothing; there is nothing to release."""

    def render(self, accept: Sequence[str]) -> tuple[bytes, dict[str, str]]:
        """Update the gauges and return the metrics page and its response headers.

        :param accept: values of the Accept header; the text format if empty.
        """
        metrics, node = self._metrics, self._node
        metrics.generation.set({}, node.configuration.generation)
        metrics.in_flight.set({}, self._calls.in_flight)
        for invariant, count in node.invariants.violations.items():
            metrics.violations.set({"invariant": invariant.name}, count)
        self._collect_store_calls()
        return metrics.render(accept)

    def _collect_store_calls(self) -> None:
        calls = self._node.find(StoreCalls)
        if calls is None:
            return
        results = {"made": calls.made, "failed": calls.failed, "refused": calls.refused}
        for result, counter in results.items():
            for kind, count in counter.items():
                labels = {"kind": kind, "result": result}
                self._metrics.store_calls.set(labels, count)

    def _on_call(self, call: Call, result: CallResult, latency: timedelta) -> None:
        route_labels = {"service": call.route.service, "rank": call.rank.label}
        self._metrics.calls.inc({**route_labels, "outcome": outcome_of(result)})
        self._metrics.latency.observe(route_labels, latency.total_seconds())


def outcome_of(result: CallResult) -> str:
    """Return the error kind, or the class of the upstream's status, as in 2xx."""
    if result.is_error():
        return str(result.error.kind.value)
    return f"{result.ok.status // 100}xx"
