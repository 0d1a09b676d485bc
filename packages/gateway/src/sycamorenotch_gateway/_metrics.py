"""Metrics of a gateway in the Prometheus text format."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any
from typing import ClassVar
from typing import final

from aioprometheus.collectors import Counter
from aioprometheus.collectors import Gauge
from aioprometheus.collectors import Histogram
from aioprometheus.collectors import Registry
from aioprometheus.renderer import render
from expression import Result

from sycamorenotch_gateway._customer_quotas import CustomerQuotaGate
from sycamorenotch_gateway._identity import Identity
from sycamorenotch_gateway._node import GatewayNode
from sycamorenotch_gateway._peers import Peers
from sycamorenotch_gateway._routes import Routes
from sycamorenotch_gateway._sources import Sources
from sycamorenotch_gateway._workers import Workers
from sycamorenotch_kernel import Refusal
from sycamorenotch_kernel import WorkerReply
from sycamorenotch_kernel import gateway_components
from sycamorenotch_policies import ERROR_BOUNDS

TEXT_FORMAT = "text/plain; version=0.0.4"
ERROR_LABELS = (*map(str, ERROR_BOUNDS), "any")
LOOP_DELAY_BUCKETS_S = (0.01, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, float("inf"))
BUCKETS_S = (0.01, 0.05, 0.1, 0.2, 0.4, 0.6, 1.0, 1.5, 2.5, 5.0, 10.0, float("inf"))


@gateway_components.register("metrics")
@final
class GatewayMetrics:
    """Collects the metrics and renders the metrics page."""

    after: ClassVar[tuple[str, ...]] = (
        *("peers", "routes", "sources", "workers"),
        *("identity", "customer-quotas"),
    )

    def __init__(self, node: GatewayNode) -> None:
        self._identity = node.require(Identity)
        self._peers = node.require(Peers)
        self._routes = node.require(Routes)
        self._sources = node.require(Sources)
        self._workers = node.require(Workers)
        self._quotas = node.require(CustomerQuotaGate)
        self._registry = Registry()
        options: dict[str, Any] = {"registry": self._registry}
        self._requests = Counter(
            "sycamorenotch_gateway_requests_total",
            "Requests by status and, if the system refused, the error kind.",
            **options,
        )
        self._latency = Histogram(
            "sycamorenotch_gateway_request_seconds",
            "Time from a request's last byte in to its answer.",
            buckets=BUCKETS_S,
            **options,
        )
        self._state = Gauge(
            "sycamorenotch_gateway_state",
            "Configuration version, known, limited and paused workers, live instances.",
            **options,
        )
        self._usage = Gauge(
            "sycamorenotch_gateway_use",
            "Cores and megabits a second in use, as other instances are told.",
            **options,
        )
        self._ages = Gauge(
            "sycamorenotch_gateway_topic_age_seconds",
            "Time since the store, or a watcher of it, last answered for a topic.",
            **options,
        )
        self._refused_keys = Counter(
            "sycamorenotch_gateway_refused_keys_total",
            "Requests refused for their key, or for the age of the configuration.",
            **options,
        )
        self._proven_age = Gauge(
            "sycamorenotch_gateway_configuration_age_seconds",
            "Time since the moment up to which the configuration is known current.",
            **options,
        )
        self._quota_requests = Counter(
            "sycamorenotch_gateway_quota_requests_total",
            "Requests of customers with a quota by customer and decision.",
            **options,
        )
        self._estimates = Gauge(
            "sycamorenotch_gateway_estimated_answers",
            "Answers by the ratio of the time that they took to the time expected.",
            **options,
        )
        self._evicted = Counter(
            "sycamorenotch_gateway_clients_limited_total",
            "Clients closed or refused because of what clients use, by reason.",
            **options,
        )
        self._client_bytes = Gauge(
            "sycamorenotch_gateway_client_bytes",
            "Bytes held for clients, by kind.",
            **options,
        )
        self._loop_delay = Histogram(
            "sycamorenotch_gateway_loop_delay_seconds",
            "Delay of timers by turns of the event loop, of one timer each 0.1 s.",
            buckets=LOOP_DELAY_BUCKETS_S,
            **options,
        )
        self._measure_clients: Callable[[], dict[str, int]] = dict
        node.provide(GatewayMetrics, self)

    def start(self) -> None:
        """Do nothing; the front end serves the page."""

    async def stop(self) -> None:
        """Do nothing."""

    def count(self, result: Result[WorkerReply, Refusal], seconds: float) -> None:
        """Count one finished request and observe its latency in seconds."""
        if result.is_ok():
            labels = {"status": str(result.ok.status), "kind": ""}
        else:
            refusal = result.error
            labels = {"status": str(refusal.status), "kind": refusal.kind.value}
        self._requests.inc(labels)
        self._latency.observe({"status": labels["status"]}, seconds)

    def observe_loop_delay(self, seconds: float) -> None:
        """Observe how late a timer ran, in seconds."""
        self._loop_delay.observe({}, seconds)

    def count_evicted_client(self, reason: str) -> None:
        """Count a client that was closed or refused because of what clients use."""
        self._evicted.inc({"reason": reason})

    def measure_clients(self, measure: Callable[[], dict[str, int]]) -> None:
        """Set the function that returns the bytes held for clients by kind."""
        self._measure_clients = measure

    def render(self) -> tuple[bytes, str]:
        """Return the page and its content type."""
        self._state.set({"of": "configuration"}, self._routes.version)
        self._state.set({"of": "workers"}, len(self._workers.directory))
        limited = self._workers.directory.limited_count()
        self._state.set({"of": "rate-limited workers"}, limited)
        self._state.set({"of": "paused workers"}, self._workers.paused_count)
        self._state.set({"of": "instances"}, self._peers.live_count)
        used_resources = self._peers.used_resources
        self._usage.set({"of": "processors"}, round(used_resources.processors, 4))
        self._usage.set({"of": "link_mbps"}, round(used_resources.link_mbps, 3))
        for topic, age_s in self._sources.ages_s().items():
            self._ages.set({"topic": topic.value}, round(age_s, 3))
        for service, work in self._workers.directory.service_work.items():
            for bound, count in zip(ERROR_LABELS, work.errors, strict=True):
                self._estimates.set({"service": service, "up_to": bound}, count)
        self._render_customers()
        for kind, size in self._measure_clients().items():
            self._client_bytes.set({"kind": kind}, size)
        body, _ = render(self._registry, [TEXT_FORMAT])
        return body, TEXT_FORMAT

    def _render_customers(self) -> None:
        for (customer, decision), count in self._quotas.counts.items():
            labels = {"customer": _escape_label(customer), "decision": decision}
            self._quota_requests.set(labels, count)
        table = self._routes.table
        self._state.set(
            {"of": "customers"}, 0 if table is None else len(table.customers)
        )
        for reason, count in self._identity.refused.items():
            self._refused_keys.set({"reason": reason}, count)
        self._proven_age.set({}, round(self._routes.age_s, 3))


def _escape_label(value: str) -> str:
    """Return a label's value for the text format, as the library does not escape it."""
    return value.replace("\\", "\\\\").replace('"', '\\"')
