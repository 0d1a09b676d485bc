"""Endpoint that returns the objective counts of one instance."""

from __future__ import annotations

from dataclasses import dataclass
from typing import final

from expression import Ok

from sycamorenotch_daemon._burn import BurnRecorder
from sycamorenotch_daemon._burn import FailureKindCount
from sycamorenotch_daemon._burn import ObjectiveRecorder
from sycamorenotch_daemon._node import Node
from sycamorenotch_daemon._operator_endpoints import OperatorRequest
from sycamorenotch_daemon._operator_endpoints import OperatorResult
from sycamorenotch_daemon._operator_endpoints import endpoint
from sycamorenotch_kernel import BurnCounts


@final
@dataclass(frozen=True, slots=True)
class ObjectiveBody:
    """Counts of one objective on one instance.

    :param latency_share: target share of calls within ``latency_s``.
    :param windows: counts by the label of the window.
    :param histogram: latencies in milliseconds, encoded as HDR V2.
    :param spent: kinds of failure that spent error budget, the largest first.
    """

    service: str
    rank: str
    availability: float
    latency_s: float
    latency_share: float
    windows: dict[str, BurnCounts]
    histogram: str
    spent: tuple[FailureKindCount, ...]


@final
@dataclass(frozen=True, slots=True)
class BurnBody:
    """Counts of every objective on one instance."""

    instance: str
    objectives: tuple[ObjectiveBody, ...]


@endpoint("GET", "/v1/burn")
async def burn(node: Node, req: OperatorRequest) -> OperatorResult:
    """Return the data of this instance for the burn report."""
    recorders = node.require(BurnRecorder).recorders
    objectives = tuple(_body(node, recorder) for recorder in recorders)
    return Ok(BurnBody(node.settings.instance, objectives))


def _body(node: Node, recorder: ObjectiveRecorder) -> ObjectiveBody:
    now, objective = node.clock.monotonic(), recorder.objective
    counts = recorder.counts(now)
    return ObjectiveBody(
        service=objective.service,
        rank=objective.rank.label,
        availability=objective.availability,
        latency_s=objective.latency.total_seconds(),
        latency_share=objective.latency_share,
        windows={window.value: count for window, count in counts.items()},
        histogram=recorder.encoded_histogram(),
        spent=recorder.failure_kinds(now),
    )
