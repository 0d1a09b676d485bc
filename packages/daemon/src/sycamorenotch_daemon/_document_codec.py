"""Encoding of an environment's object in the store.

The object holds the document, who wrote it and when, the drains, and a
bounded history, so that one conditional update changes all of them together.
A plain INI document is accepted too.
"""

from __future__ import annotations

import hashlib
from dataclasses import asdict
from dataclasses import dataclass
from datetime import datetime
from typing import Any
from typing import Literal
from typing import final

from pydantic import BaseModel
from pydantic import ValidationError

from sycamorenotch_kernel import Drain
from sycamorenotch_kernel import DrainKind

FORMAT = "sycamorenotch-document-1"
HISTORY_LIMIT = 50


class InvalidEnvelopeError(ValueError):
    """The stored value is neither an envelope nor a document."""


@final
@dataclass(frozen=True, slots=True)
class Revision:
    """One generation in the history of an environment.

    :param change: what was changed, in a few words.
    :param source: environment and generation that were copied, if any.
    :param attempt: identifier of the write.
    """

    generation: int
    author: str
    at: datetime | None
    change: str
    source: str
    digest: str
    attempt: str


@final
@dataclass(frozen=True, slots=True)
class StoredDocument:
    """An environment's object in the store.

    :param history: earlier generations, the newest first.
    """

    text: str
    author: str = ""
    at: datetime | None = None
    change: str = ""
    source: str = ""
    attempt: str = ""
    drains: tuple[Drain, ...] = ()
    history: tuple[Revision, ...] = ()

    @property
    def digest(self) -> str:
        """Hash of the document's text."""
        return hashlib.sha256(self.text.encode()).hexdigest()

    def revision(self, generation: int) -> Revision:
        """Return the entry of this generation for the history."""
        return Revision(
            generation,
            self.author,
            self.at,
            self.change,
            self.source,
            self.digest,
            self.attempt,
        )

    def history_at(self, generation: int) -> tuple[Revision, ...]:
        """Return the history with this generation as its newest entry."""
        return (self.revision(generation), *self.history)[:HISTORY_LIMIT]


class _DrainModel(BaseModel):
    kind: DrainKind
    name: str
    author: str
    at: datetime


class _RevisionModel(BaseModel):
    generation: int
    author: str
    at: datetime | None
    change: str
    source: str
    digest: str
    attempt: str


class _EnvelopeModel(BaseModel):
    format: Literal["sycamorenotch-document-1"] = FORMAT
    author: str
    at: datetime | None
    change: str
    source: str
    attempt: str
    drains: tuple[_DrainModel, ...]
    history: tuple[_RevisionModel, ...]
    text: str


def encode_document(document: StoredDocument) -> bytes:
    """Return the value to store."""
    return _EnvelopeModel(**asdict(document)).model_dump_json().encode()


def decode_document(value: bytes) -> StoredDocument:
    """Return the object that a stored value holds.

    :raises InvalidEnvelopeError: if the value cannot be read.
    """
    # An INI document cannot start with a brace.
    if not value.startswith(b"{"):
        return StoredDocument(_text(value))
    try:
        model = _EnvelopeModel.model_validate_json(value)
    except ValidationError as exc:
        # The input itself stays out of the message, which is logged.
        first = exc.errors(include_input=False, include_context=False)[0]
        place = ".".join(map(str, first["loc"])) or "envelope"
        raise InvalidEnvelopeError(f"malformed {place}: {first['msg']}") from None
    fields: dict[str, Any] = dict(model)
    del fields["format"]
    fields["drains"] = tuple(Drain(**dict(item)) for item in model.drains)
    fields["history"] = tuple(Revision(**dict(item)) for item in model.history)
    return StoredDocument(**fields)


def _text(value: bytes) -> str:
    try:
        return value.decode()
    except UnicodeDecodeError:
        raise InvalidEnvelopeError("the document is not UTF-8 text") from None
