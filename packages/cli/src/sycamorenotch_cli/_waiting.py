"""Polling until a generation is in force on every instance."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from typing import final

from twisted.internet.task import deferLater

from sycamorenotch_cli._client import OperatorsClient
from sycamorenotch_cli._commands import ExitCode
from sycamorenotch_cli._commands import Invocation
from sycamorenotch_cli._commands import Outcome
from sycamorenotch_cli._fleet import query_fleet
from sycamorenotch_cli._messages import SpreadModel
from sycamorenotch_cli._messages import StatusModel

POLL_INTERVAL = timedelta(milliseconds=200)


@final
@dataclass(frozen=True, slots=True)
class RolloutStatus:
    """On how many instances a generation is in force.

    :param total: number of instances.
    :param behind: identifiers of the instances with an older generation or without a
        response; the URL of the first one if it cannot list them.
    """

    generation: int
    total: int
    behind: tuple[str, ...]

    @property
    def text(self) -> str:
        """The rollout status, for display."""
        count = self.total - len(self.behind)
        text = f"generation {self.generation} is in force on {count} of {self.total}"
        names = ", ".join(self.behind)
        return f"{text} instances" + (f"; not on {names}" if names else "")


async def wait_in_force(invocation: Invocation, generation: int) -> Outcome:
    """Poll until a generation is in force on every instance or time is out."""
    client, limit = invocation.connect(), invocation.options.wait_limit
    deadline_s = invocation.reactor.seconds() + limit.total_seconds()
    while True:
        status = await _rollout_status(client, generation)
        timed_out = invocation.reactor.seconds() >= deadline_s
        if timed_out or not status.behind:
            break
        await deferLater(invocation.reactor, POLL_INTERVAL.total_seconds())
    code = ExitCode.PARTIAL if status.behind else ExitCode.OK
    data = {
        "generation": generation,
        "in_force": status.total - len(status.behind),
        "instances": status.total,
        "behind": status.behind,
    }
    return Outcome(code, status.text, data)


async def _rollout_status(client: OperatorsClient, generation: int) -> RolloutStatus:
    """Query one instance, or all of them if it does not know the others' state."""
    reported = await client.get(f"/v1/spread/{generation}", SpreadModel)
    if reported.is_error():
        return await _poll_rollout_status(client, generation)
    total = len(reported.ok.in_force) + len(reported.ok.missing)
    return RolloutStatus(generation, total, reported.ok.missing)


async def _poll_rollout_status(
    client: OperatorsClient, generation: int
) -> RolloutStatus:
    found = await query_fleet(client, "/v1/status", StatusModel)
    if found.is_error():
        return RolloutStatus(generation, 1, (client.url,))
    responses = found.ok.responses
    behind = tuple(
        item.id
        for item in found.ok.listed
        if item.id not in responses or responses[item.id].generation < generation
    )
    return RolloutStatus(generation, len(found.ok.listed), behind)
