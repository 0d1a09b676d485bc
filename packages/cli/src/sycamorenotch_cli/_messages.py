"""Models of what the operators' interface answers."""

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
    """An environment's document and who wrote it."""

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
    """One generation in the history."""

    generation: int
    author: str
    at: datetime | None
    change: str
    source: str
    digest: str


class HistoryModel(BaseModel):
    """The kept generations, the newest first."""

    environment: str
    revisions: tuple[RevisionModel, ...]


class InstanceModel(BaseModel):
    """An instance in the list of one instance."""

    id: str
    region: str
    data_centre: str
    operators: str
    state: str


class StatusModel(BaseModel):
    """The state of one instance."""

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
    """Where a generation is in force, as one instance has heard."""

    generation: int
    in_force: tuple[str, ...]
    missing: tuple[str, ...]


class FactModel(BaseModel):
    """One input of a decision."""

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
    """Requests of one objective in one window."""

    total: int
    failed: int
    slow: int


class SpenderModel(BaseModel):
    """A cause that spent error budget."""

    kind: str
    count: int
    decisions: tuple[str, ...]


class ObjectiveModel(BaseModel):
    """Counts of one objective on one instance."""

    service: str
    rank: str
    availability: float
    latency_s: float
    latency_share: float
    windows: dict[BurnWindow, CountsModel]
    histogram: str
    spent: tuple[SpenderModel, ...]


class BurnModel(BaseModel):
    """Counts of every objective on one instance."""

    instance: str
    objectives: tuple[ObjectiveModel, ...]
