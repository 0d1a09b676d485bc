"""Endpoint that shows on which instances a generation is in force."""

from __future__ import annotations

from dataclasses import dataclass
from typing import final

from expression import Error
from expression import Ok

from sycamorenotch_daemon._fleet import FleetView
from sycamorenotch_daemon._node import Node
from sycamorenotch_daemon._operator_endpoints import OperatorRequest
from sycamorenotch_daemon._operator_endpoints import OperatorResult
from sycamorenotch_daemon._operator_endpoints import endpoint
from sycamorenotch_kernel import ErrorKind
from sycamorenotch_kernel import Failure


@final
@dataclass(frozen=True, slots=True)
class SpreadBody:
    """Rollout of a generation, as seen by this instance.

    :param in_force: instances known to serve at least this generation.
    :param missing: instances not known to serve it.
    """

    generation: int
    in_force: tuple[str, ...]
    missing: tuple[str, ...]


@endpoint("GET", "/v1/spread/<generation>")
async def spread(node: Node, req: OperatorRequest) -> OperatorResult:
    """Return the instances on which a generation is in force."""
    text = req.arguments["generation"]
    if not text.isdecimal():
        return Error(Failure(ErrorKind.BAD_REQUEST, "the generation is not a number"))
    view = node.find(FleetView)  # type: ignore[type-abstract]
    if view is None:
        detail = "this instance has no view of the fleet"
        return Error(Failure(ErrorKind.NOT_FOUND, detail))
    generation = int(text)
    in_force = tuple(item.instance for item in view.in_force(generation))
    missing = tuple(item.instance for item in view.missing(generation))
    return Ok(SpreadBody(generation, in_force, missing))
