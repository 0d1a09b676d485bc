"""What workers say about themselves, and how it is read."""

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
    """An endpoint of a worker that is polled."""

    path: str

    def apply(
        self, body: bytes, worker: Worker, upstreams: Upstreams, now: timedelta
    ) -> None:
        """Take in an answer of the endpoint.

        :raises pydantic.ValidationError: if the answer is malformed.
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
    """Whether a worker is leaving."""

    path = "/health"

    def apply(
        self, body: bytes, worker: Worker, upstreams: Upstreams, now: timedelta
    ) -> None:
        """Stop or allow new work on the worker."""
        state = StateModel.model_validate_json(body).state
        upstreams.report_leaving(worker.name, state == "leaving")


@health_signals.register("load")
@final
class LoadSignal:
    """How many slots of a worker are in use."""

    path = "/load"

    def apply(
        self, body: bytes, worker: Worker, upstreams: Upstreams, now: timedelta
    ) -> None:
        """Hand the report to the choice of the worker's service."""
        load = LoadModel.model_validate_json(body)
        choice = upstreams.choice(worker.service)
        if choice is not None:
            choice.report(LoadReport(worker.name, load.running, load.slots, now))
