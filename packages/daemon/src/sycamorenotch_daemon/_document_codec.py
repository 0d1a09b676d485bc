"""Encoding of environment documents in the store.

The stored object is an envelope of the document, its author and time, the
drains and a bounded history, so that one conditional update changes all of them
atomically. A plain INI document without an envelope is accepted too.
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
    """The stored value is neither a valid envelope nor UTF-8 text."""


@final
@dataclass(frozen=True, slots=True)
class Revision:
    """One generation in the history of an environment.

    :param change: short description of the change.
    :param source: environment and generation that a promotion copied, if any.
    :param attempt: identifier of the write attempt.
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
    """An environment's document with its metadata, as stored.

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
        """SHA-256 of the document's text in hexadecimal."""
        return hashlib.sha256(self.text.encode()).hexdigest()

    def revision(self, generation: int) -> Revision:
        """Return the history entry of this generation."""
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
    """Encode a document and its metadata for the store."""
    return _EnvelopeModel(**asdict(document)).model_dump_json().encode()


def decode_document(value: bytes) -> StoredDocument:
    """Decode a stored value, which may also be a plain INI document.

    :raises InvalidEnvelopeError: if the value cannot be decoded.
    """
    # An INI document cannot start with a brace.
    if not value.startswith(b"{"):
        return StoredDocument(_decode_text(value))
    try:
        model = _EnvelopeModel.model_validate_json(value)
    except ValidationError as exc:
        # The message is logged and must not contain the input.
        first = exc.errors(include_input=False, include_context=False)[0]
        location = ".".join(map(str, first["loc"])) or "envelope"
        raise InvalidEnvelopeError(f"malformed {location}: {first['msg']}") from None
    fields: dict[str, Any] = dict(model)
    del fields["format"]
    fields["drains"] = tuple(Drain(**dict(item)) for item in model.drains)
    fields["history"] = tuple(Revision(**dict(item)) for item in model.history)
    return StoredDocument(**fields)


def _decode_text(value: bytes) -> str:
    try:
        return value.decode()
    except UnicodeDecodeError:
        raise InvalidEnvelopeError("the document is not UTF-8 text") from None
