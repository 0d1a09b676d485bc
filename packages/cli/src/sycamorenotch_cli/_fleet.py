"""Asks every instance of the fleet the same question."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Generic
from typing import TypeVar
from typing import final

from expression import Error
from expression import Ok
from expression import Result
from pydantic import BaseModel
from twisted.internet.defer import Deferred
from twisted.internet.defer import DeferredSemaphore
from twisted.internet.defer import gatherResults

from sycamorenotch_cli._client import OperatorsClient
from sycamorenotch_cli._client import Refusal
from sycamorenotch_cli._messages import InstanceModel
from sycamorenotch_cli._messages import StatusModel

CONCURRENT_REQUESTS = 64

M = TypeVar("M", bound=BaseModel)


@final
@dataclass(frozen=True, slots=True)
class FleetAnswers(Generic[M]):
    """What the instances answered.

    :param listed: every instance that the first one knows.
    :param answers: the answers by instance.
    :param refusals: why the others have none, by instance.
    """

    listed: tuple[InstanceModel, ...]
    answers: dict[str, M]
    refusals: dict[str, Refusal]

    @property
    def missing(self) -> tuple[str, ...]:
        """Instances that could not be asked."""
        return tuple(n for n, r in self.refusals.items() if r.unreachable)

    @property
    def summary(self) -> str:
        """How many instances answered, for people."""
        count = len(self.listed) - len(self.missing)
        text = f"{count} of {len(self.listed)} instances answered"
        named = ", ".join(self.missing)
        return f"{text}; missing: {named}" if named else text


async def ask_fleet(
    client: OperatorsClient, path: str, model: type[M]
) -> Result[FleetAnswers[M], Refusal]:
    """Ask each instance that the first one lists, many at once.

    :return: the refusal of the first instance if it cannot list the others.
    """
    status = await client.get("/v1/status", StatusModel)
    if status.is_error():
        return Error(status.error)
    me, listed = status.ok.instance, status.ok.instances
    asked = [
        client if item.id == me else client.peer(item.operators) for item in listed
    ]
    slots = DeferredSemaphore(CONCURRENT_REQUESTS)

    def ask(one: OperatorsClient) -> Deferred[Result[M, Refusal]]:
        return slots.run(lambda: Deferred.fromCoroutine(one.get(path, model)))

    results = await gatherResults([ask(one) for one in asked])
    named = list(zip((item.id for item in listed), results, strict=True))
    return Ok(
        FleetAnswers(
            listed=listed,
            answers={name: r.ok for name, r in named if r.is_ok()},
            refusals={name: r.error for name, r in named if r.is_error()},
        )
    )
