"""Encoding of topics in the answers of one instance to another."""

from __future__ import annotations

from dataclasses import field
from typing import Annotated
from typing import Any
from typing import final

from expression import Error
from expression import Ok
from expression import Result
from pydantic import Field
from pydantic import TypeAdapter
from pydantic import ValidationError
from pydantic.dataclasses import dataclass

from sycamorenotch_kernel import Batch
from sycamorenotch_kernel import ForwardingConfiguration
from sycamorenotch_kernel import Item
from sycamorenotch_kernel import Topic
from sycamorenotch_kernel import WorkerEntry


@dataclass(frozen=True, slots=True, kw_only=True)
class _Payload:
    """Items of a topic, all or the changed ones.

    :param snapshot: whether ``items`` are all items of the topic.
    :param removed: names of the objects that were deleted.
    :param problems: why objects cannot be decoded, by name.
    :param revisions: revisions at which the objects were written, by name.
    :param version: version in force at the sender, as in :class:`Batch`.
    :param age_s: age of the items when the request arrived, as in :class:`Batch`;
        unknown if an instance of an earlier release leaves it out.
    """

    revision: int
    era: int = 0
    snapshot: bool = True
    removed: tuple[str, ...] = ()
    problems: dict[str, str] = field(default_factory=dict)
    revisions: dict[str, int] = field(default_factory=dict)
    version: int = 0
    age_s: Annotated[float, Field(allow_inf_nan=False)] | None = None


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class _ConfigurationsPayload(_Payload):
    items: dict[str, ForwardingConfiguration]


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class _WorkersPayload(_Payload):
    items: dict[str, WorkerEntry]


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class _EvacuationsPayload(_Payload):
    items: dict[str, str]


_PAYLOADS: dict[Topic, Any] = {
    Topic.CONFIGURATION: _ConfigurationsPayload,
    Topic.WORKERS: _WorkersPayload,
    Topic.EVACUATIONS: _EvacuationsPayload,
}
_ADAPTERS: dict[Topic, TypeAdapter[Any]] = {
    topic: TypeAdapter(payload) for topic, payload in _PAYLOADS.items()
}

RELAYED_TOPICS = frozenset(_PAYLOADS)


def encode_topic(topic: Topic, batch: Batch, *, is_snapshot: bool) -> bytes:
    """Encode items of a topic as JSON."""
    payload = _PAYLOADS[topic](
        revision=batch.revision,
        era=batch.era,
        snapshot=is_snapshot,
        removed=tuple(item.name for item in batch.items if item.removed),
        problems={i.name: i.problem for i in batch.items if i.problem},
        revisions={i.name: i.revision for i in batch.items if i.value is not None},
        items={i.name: i.value for i in batch.items if i.value is not None},
        version=batch.version,
        age_s=batch.age_s,
    )
    return _ADAPTERS[topic].dump_json(payload)


def decode_topic(topic: Topic, body: bytes) -> Result[tuple[Batch, bool], str]:
    """Decode items of a topic.

    :return: the items, and whether they are all items of the topic; or what is
        wrong with the body.
    """
    try:
        found = _ADAPTERS[topic].validate_json(body)
    except ValidationError as exc:
        return Error(f"the peer's answer is invalid: {exc.error_count()} errors")
    revision = found.revision
    items = (
        *(
            Item(name, found.revisions.get(name, revision), value)
            for name, value in found.items.items()
        ),
        *(Item(name, revision, removed=True) for name in found.removed),
        *(
            Item(name, revision, problem=problem)
            for name, problem in found.problems.items()
        ),
    )
    batch = Batch(items, revision, found.era, found.age_s, found.version)
    return Ok((batch, found.snapshot))
