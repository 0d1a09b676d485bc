"""Endpoints that return the state and the decisions of one instance."""

from __future__ import annotations

from dataclasses import dataclass
from typing import final

from expression import Error
from expression import Ok

from sycamorenotch_daemon._instances import InstanceView
from sycamorenotch_daemon._node import Node
from sycamorenotch_daemon._operator_endpoints import OperatorRequest
from sycamorenotch_daemon._operator_endpoints import OperatorResult
from sycamorenotch_daemon._operator_endpoints import endpoint
from sycamorenotch_kernel import DecisionId
from sycamorenotch_kernel import Drain
from sycamorenotch_kernel import Drains
from sycamorenotch_kernel import ErrorKind
from sycamorenotch_kernel import Failure
from sycamorenotch_kernel import ListedInstance


@final
@dataclass(frozen=True, slots=True)
class StatusBody:
    """The state of one instance.

    :param digest: hash of the configuration in force, or an empty string.
    :param instances: the known instances, this one included.
    :param violations: number of violations of each invariant since the start.
    """

    instance: str
    environment: str
    region: str
    data_centre: str
    generation: int
    digest: str
    stopping: bool
    drains: tuple[Drain, ...]
    instances: tuple[ListedInstance, ...]
    violations: dict[str, int]


@endpoint("GET", "/v1/status")
async def status(node: Node, req: OperatorRequest) -> OperatorResult:
    """Return the state of this instance."""
    settings, current = node.settings, node.configuration.current
    violations = node.invariants.violations
    return Ok(
        StatusBody(
            instance=settings.instance,
            environment=settings.environment,
            region=settings.region,
            data_centre=settings.data_centre,
            generation=node.configuration.generation,
            digest="" if current is None else current.digest,
            stopping=node.stopping,
            drains=node.require(Drains).current,
            instances=node.require(InstanceView).instances(),  # type: ignore[type-abstract]
            violations={item.name: count for item, count in violations.items()},
        )
    )


@endpoint("GET", "/v1/decisions/<decision>")
async def decision(node: Node, req: OperatorRequest) -> OperatorResult:
    """Return the record of a decision."""
    record = node.decisions.find(DecisionId(req.arguments["decision"]))
    if record is None:
        detail = "this instance has no record of the decision"
        return Error(Failure(ErrorKind.NOT_FOUND, detail))
    return Ok(record)
