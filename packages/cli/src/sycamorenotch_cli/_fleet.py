"""Sends a request to every instance of the fleet."""

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

from sycamorenotch_cli._client import ApiError
from sycamorenotch_cli._client import OperatorsClient
from sycamorenotch_cli._messages import InstanceModel
from sycamorenotch_cli._messages import StatusModel

MAX_CONCURRENT_REQUESTS = 64

M = TypeVar("M", bound=BaseModel)


@final
@dataclass(frozen=True, slots=True)
class FleetResponses(Generic[M]):
    """Responses of the instances.

    :param listed: all instances, as listed by the first one.
    :param responses: responses by instance.
    :param errors: errors of the other instances, by instance.
    """

    listed: tuple[InstanceModel, ...]
    responses: dict[str, M]
    errors: dict[str, ApiError]

    @property
    def missing(self) -> tuple[str, ...]:
        """Instances that gave no valid response."""
        return tuple(n for n, r in self.errors.items() if r.unreachable)

    @property
    def summary(self) -> str:
        """Sentence on how many instances responded, for display."""
        count = len(self.listed) - len(self.missing)
        text = f"{count} of {len(self.listed)} instances answered"
        names = ", ".join(self.missing)
        return f"{text}; missing: {names}" if names else text


async def query_fleet(
    client: OperatorsClient, path: str, model: type[M]
) -> Result[FleetResponses[M], ApiError]:
    """Send a GET request to each instance that the first one lists, concurrently.

    :param client: client of the first instance.
    :return: the responses, or an error if the first instance cannot list the others.
    """
    status = await client.get("/v1/status", StatusModel)
    if status.is_error():
        return Error(status.error)
    own_id, listed = status.ok.instance, status.ok.instances
    clients = [
        client if item.id == own_id else client.peer(item.operators) for item in listed
    ]
    semaphore = DeferredSemaphore(MAX_CONCURRENT_REQUESTS)

    def query(peer_client: OperatorsClient) -> Deferred[Result[M, ApiError]]:
        return semaphore.run(
            lambda: Deferred.fromCoroutine(peer_client.get(path, model))
        )

    results = await gatherResults([query(peer_client) for peer_client in clients])
    pairs = list(zip((item.id for item in listed), results, strict=True))
    return Ok(
        FleetResponses(
            listed=listed,
            responses={name: r.ok for name, r in pairs if r.is_ok()},
            errors={name: r.error for name, r in pairs if r.is_error()},
        )
    )
