"""Worker states that instances report to the lease holder."""

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

# Messages carry loads and failure shares as integers in thousandths.
SHARE_SCALE = 1000
MILLISECOND = timedelta(milliseconds=1)
# Load in a message for a worker that has sent no load report.
NO_LOAD = -1


def observe_workers(node: Node) -> tuple[WorkerObservation, ...]:
    """Return the observed states of the workers in the instance's own region.

    Instances in the other regions report the workers there, because a network
    partition between regions does not separate them from their workers.
    """
    upstreams = node.find(Upstreams)
    current = node.configuration.current
    if upstreams is None or current is None:
        return ()
    now = node.clock.monotonic()
    return tuple(
        _worker_states(upstreams, node.settings.region, current.environment, now)
    )


def _worker_states(
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
    """Latest states of the workers, as reported by each instance."""

    def __init__(self) -> None:
        self._worker_states: dict[InstanceId, tuple[WorkerObservation, ...]] = {}
        self._received_at: dict[InstanceId, timedelta] = {}

    def report(
        self,
        instance: InstanceId,
        workers: tuple[WorkerObservation, ...],
        now: timedelta,
    ) -> None:
        """Replace the states reported by an instance.

        :param now: time of the report on the monotonic clock.
        """
        self._worker_states[instance] = workers
        self._received_at[instance] = now

    def reports(
        self, listed: Iterable[InstanceId], now: timedelta
    ) -> tuple[WorkerReport, ...]:
        """Return one merged report for each worker that a listed instance reported.

        Reports of instances that are no longer listed are discarded.
        """
        present = set(listed)
        self._worker_states = {
            n: items for n, items in self._worker_states.items() if n in present
        }
        self._received_at = {
            n: at for n, at in self._received_at.items() if n in present
        }
        by_worker: defaultdict[str, list[tuple[WorkerObservation, timedelta]]] = (
            defaultdict(list)
        )
        for instance, items in self._worker_states.items():
            elapsed = now - self._received_at[instance]
            for item in items:
                by_worker[item.worker].append((item, elapsed + item.age * MILLISECOND))
        return tuple(_merge(name, by_worker[name]) for name in sorted(by_worker))


def _merge(
    worker: str, states: list[tuple[WorkerObservation, timedelta]]
) -> WorkerReport:
    # A single instance that cannot reach a worker must not exclude it for all.
    newest, age = min(states, key=lambda pair: pair[1])
    failures = sum(item.failures for item, _ in states) / len(states) / SHARE_SCALE
    return WorkerReport(
        worker=worker,
        usable=any(item.usable for item, _ in states),
        load=None if newest.load == NO_LOAD else newest.load / SHARE_SCALE,
        age=age,
        failures=failures,
    )
