"""Health signals: endpoints of the workers that are polled."""

from __future__ import annotations

from datetime import timedelta
from typing import Literal
from typing import Protocol
from typing import final

from pydantic import BaseModel
from pydantic import Field

from sycamorenotch_daemon._upstreams import Upstreams
from sycamorenotch_kernel import Worker
from sycamorenotch_kernel import health_signals
from sycamorenotch_policies import LoadReport


class HealthSignal(Protocol):
    """A polled endpoint of the workers.

    Implementations register themselves in the registry ``health_signals``.
    """

    path: str

    def apply(
        self, body: bytes, worker: Worker, upstreams: Upstreams, now: timedelta
    ) -> None:
        """Apply a response of the endpoint.

        :param body: content of the response.
        :param now: time of the response on the monotonic clock.
        :raises pydantic.ValidationError: if the response is malformed.
        """
        ...


class StateModel(BaseModel):
    """Body of a worker's health endpoint."""

    state: Literal["live", "leaving"]


class LoadModel(BaseModel):
    """Body of a worker's load endpoint."""

    running: int = Field(ge=0)
    slots: int = Field(ge=0)


@health_signals.register("state")
@final
class StateSignal:
    """Reads whether a worker is leaving."""

    path = "/health"

    def apply(
        self, body: bytes, worker: Worker, upstreams: Upstreams, now: timedelta
    ) -> None:
        """Stop or allow new requests to the worker."""
        state = StateModel.model_validate_json(body).state
        upstreams.record_leaving(worker.name, state == "leaving")


@health_signals.register("load")
@final
class LoadSignal:
    """Reads how many slots of a worker are in use."""

    path = "/load"

    def apply(
        self, body: bytes, worker: Worker, upstreams: Upstreams, now: timedelta
    ) -> None:
        """Forward the report to the choice of the worker's service."""
        load = LoadModel.model_validate_json(body)
        choice = upstreams.choice(worker.service)
        if choice is not None:
            choice.report(LoadReport(worker.name, load.running, load.slots, now))
