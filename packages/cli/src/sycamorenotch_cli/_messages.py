"""Models of the responses of the operators' API."""

from __future__ import annotations

from datetime import datetime

from pydantic import BaseModel

from sycamorenotch_kernel import BurnWindow


class DrainModel(BaseModel):
    """A drain in force."""

    kind: str
    name: str
    author: str
    at: datetime


class DocumentModel(BaseModel):
    """A document of an environment and its metadata."""

    environment: str
    generation: int
    author: str
    at: datetime | None
    change: str
    source: str
    digest: str
    drains: tuple[DrainModel, ...]
    text: str


class RevisionModel(BaseModel):
    """A generation in the history."""

    generation: int
    author: str
    at: datetime | None
    change: str
    source: str
    digest: str


class HistoryModel(BaseModel):
    """The stored generations, the newest first."""

    environment: str
    revisions: tuple[RevisionModel, ...]


class InstanceModel(BaseModel):
    """An entry of an instance's instance list."""

    id: str
    region: str
    data_centre: str
    operators: str
    state: str


class StatusModel(BaseModel):
    """The state of one instance.

    :param violations: number of violations of each invariant since the start.
    """

    instance: str
    environment: str
    region: str
    data_centre: str
    generation: int
    digest: str
    stopping: bool
    drains: tuple[DrainModel, ...]
    instances: tuple[InstanceModel, ...]
    violations: dict[str, int]


class SpreadModel(BaseModel):
    """Instances on which a generation is in force, as known to one instance."""

    generation: int
    in_force: tuple[str, ...]
    missing: tuple[str, ...]


class FactModel(BaseModel):
    """An input of a decision."""

    name: str
    value: str


class DecisionModel(BaseModel):
    """The record of a decision."""

    id: str
    kind: str
    at: datetime
    generation: int
    outcome: str
    reasons: tuple[str, ...]
    facts: tuple[FactModel, ...]
    causes: tuple[str, ...]


class CountsModel(BaseModel):
    """Request counts of an objective in a window."""

    total: int
    failed: int
    slow: int


class BurnCauseModel(BaseModel):
    """Failed or slow requests of one kind, which spent error budget."""

    kind: str
    count: int
    decisions: tuple[str, ...]


class ObjectiveModel(BaseModel):
    """Counts of an objective on one instance.

    :param latency_s: latency objective, in seconds.
    :param histogram: encoded HDR histogram of latencies, in milliseconds.
    """

    service: str
    rank: str
    availability: float
    latency_s: float
    latency_share: float
    windows: dict[BurnWindow, CountsModel]
    histogram: str
    spent: tuple[BurnCauseModel, ...]


class BurnModel(BaseModel):
    """Counts of all objectives on one instance."""

    instance: str
    objectives: tuple[ObjectiveModel, ...]
