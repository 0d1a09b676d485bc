"""Waits until a generation is in force on every instance."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from typing import final

from twisted.internet.task import deferLater

from sycamorenotch_cli._client import OperatorsClient
from sycamorenotch_cli._commands import ExitCode
from sycamorenotch_cli._commands import Invocation
from sycamorenotch_cli._commands import Outcome
from sycamorenotch_cli._fleet import ask_fleet
from sycamorenotch_cli._messages import SpreadModel
from sycamorenotch_cli._messages import StatusModel

POLL_INTERVAL = timedelta(milliseconds=200)


@final
@dataclass(frozen=True, slots=True)
class Spread:
    """On how many instances a generation is in force.

    :param behind: instances that serve an older one or did not answer.
    """

    generation: int
    total: int
    behind: tuple[str, ...]

    @property
    def text(self) -> str:
        """The spread, for people."""
        count = self.total - len(self.behind)
        text = f"generation {self.generation} is in force on {count} of {self.total}"
        named = ", ".join(self.behind)
        return f"{text} instances" + (f"; not on {named}" if named else "")


async def wait_in_force(invocation: Invocation, generation: int) -> Outcome:
    """Ask the fleet until every instance serves a generation, or time is over."""
    client, limit = invocation.connect(), invocation.options.wait_limit
    end = invocation.reactor.seconds() + limit.total_seconds()
    while True:
        spread = await _spread(client, generation)
        late = invocation.reactor.seconds() >= end
        if late or not spread.behind:
            break
        await deferLater(invocation.reactor, POLL_INTERVAL.total_seconds())
    code = ExitCode.PARTIAL if spread.behind else ExitCode.OK
    data = {
        "generation": generation,
        "in_force": spread.total - len(spread.behind),
        "instances": spread.total,
        "behind": spread.behind,
    }
    return Outcome(code, spread.text, data)


async def _spread(client: OperatorsClient, generation: int) -> Spread:
    """Ask one instance, or all if it does not hear of the others."""
    heard = await client.get(f"/v1/spread/{generation}", SpreadModel)
    if heard.is_error():
        return await _asked_spread(client, generation)
    total = len(heard.ok.in_force) + len(heard.ok.missing)
    return Spread(generation, total, heard.ok.missing)


async def _asked_spread(client: OperatorsClient, generation: int) -> Spread:
    found = await ask_fleet(client, "/v1/status", StatusModel)
    if found.is_error():
        return Spread(generation, 1, (client.url,))
    answers = found.ok.answers
    behind = tuple(
        item.id
        for item in found.ok.listed
        if item.id not in answers or answers[item.id].generation < generation
    )
    return Spread(generation, len(found.ok.listed), behind)
