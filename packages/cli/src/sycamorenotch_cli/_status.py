"""Command that shows the state of every instance."""

from __future__ import annotations

from sycamorenotch_cli._commands import ExitCode
from sycamorenotch_cli._commands import Invocation
from sycamorenotch_cli._commands import Outcome
from sycamorenotch_cli._commands import command
from sycamorenotch_cli._commands import error_outcome
from sycamorenotch_cli._fleet import FleetResponses
from sycamorenotch_cli._fleet import query_fleet
from sycamorenotch_cli._messages import InstanceModel
from sycamorenotch_cli._messages import StatusModel
from sycamorenotch_cli._tables import table


@command(
    "status",
    "",
    "Show the instances, the generation in force on each, and the drains.",
    "sycamorenotch status",
)
async def status(invocation: Invocation) -> Outcome:
    """Query each instance for its state."""
    found = await query_fleet(invocation.connect(), "/v1/status", StatusModel)
    if found.is_error():
        return error_outcome(found.error)
    fleet = found.ok
    newest = max((item.generation for item in fleet.responses.values()), default=0)
    current = sum(item.generation == newest for item in fleet.responses.values())
    head = ("instance", "region", "data centre", "state", "generation", "violations")
    rows = [_row(fleet, item) for item in fleet.listed]
    summary = f"generation {newest} is in force on {current} of {len(rows)} instances"
    lines = [table(head, rows), "", summary, fleet.summary, *_drain_lines(fleet)]
    code = ExitCode.PARTIAL if fleet.missing else ExitCode.OK
    data = {
        "newest": newest,
        "in_force": current,
        "instances": len(rows),
        "missing": fleet.missing,
        "answers": {n: a.model_dump(mode="json") for n, a in fleet.responses.items()},
    }
    return Outcome(code, "\n".join(lines), data)


def _row(fleet: FleetResponses[StatusModel], item: InstanceModel) -> tuple[object, ...]:
    location = (item.id, item.region, item.data_centre)
    response = fleet.responses.get(item.id)
    if response is None:
        return (*location, "no answer", "-", "-")
    state = "leaving" if response.stopping else item.state
    return (*location, state, response.generation, sum(response.violations.values()))


def _drain_lines(fleet: FleetResponses[StatusModel]) -> list[str]:
    newest = max(
        fleet.responses.values(), key=lambda item: item.generation, default=None
    )
    if newest is None:
        return []
    return [f"drained: {d.kind} {d.name}, by {d.author}" for d in newest.drains]
