"""Endpoints that read and write environment documents."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace
from datetime import datetime
from typing import final

from expression import Error
from expression import Ok
from expression import Result

from sycamorenotch_daemon._document_codec import Revision
from sycamorenotch_daemon._document_codec import StoredDocument
from sycamorenotch_daemon._document_store import DocumentStore
from sycamorenotch_daemon._document_store import VersionedDocument
from sycamorenotch_daemon._document_store import conflict
from sycamorenotch_daemon._node import Node
from sycamorenotch_daemon._operator_endpoints import OperatorRequest
from sycamorenotch_daemon._operator_endpoints import OperatorResult
from sycamorenotch_daemon._operator_endpoints import endpoint
from sycamorenotch_documents import InvalidFileError
from sycamorenotch_documents import parse_environment
from sycamorenotch_kernel import Drain
from sycamorenotch_kernel import ErrorKind
from sycamorenotch_kernel import Failure


@final
@dataclass(frozen=True, slots=True)
class DocumentBody:
    """Response body with an environment's document and its metadata."""

    environment: str
    generation: int
    author: str
    at: datetime | None
    change: str
    source: str
    digest: str
    drains: tuple[Drain, ...]
    text: str


@final
@dataclass(frozen=True, slots=True)
class HistoryBody:
    """Response body with the history of an environment.

    :param revisions: the retained generations, the newest first.
    """

    environment: str
    revisions: tuple[Revision, ...]


def document_body(name: str, versioned: VersionedDocument) -> DocumentBody:
    """Return the response body for a document."""
    document = versioned.document
    return DocumentBody(
        environment=name,
        generation=versioned.generation,
        author=document.author,
        at=document.at,
        change=document.change,
        source=document.source,
        digest=document.digest,
        drains=document.drains,
        text=document.text,
    )


@endpoint("GET", "/v1/documents/<name>")
async def read_document(node: Node, req: OperatorRequest) -> OperatorResult:
    """Return the newest document of an environment."""
    name = req.arguments["name"]
    result = await DocumentStore(node).read(name)
    return result.map(lambda item: document_body(name, item))


@endpoint("GET", "/v1/documents/<name>/history")
async def read_history(node: Node, req: OperatorRequest) -> OperatorResult:
    """Return the author and time of each retained generation."""
    name = req.arguments["name"]
    result = await DocumentStore(node).read(name)
    return result.map(lambda item: HistoryBody(name, item.history))


@endpoint("PUT", "/v1/documents/<name>")
async def write_document(node: Node, req: OperatorRequest) -> OperatorResult:
    """Store a document if the expected generation is still the newest."""
    name = req.arguments["name"]
    text = _valid_text(req.body)
    if text.is_error():
        return Error(text.error)
    store = DocumentStore(node)
    previous = await _read_expected(store, name, req.expected)
    if previous.is_error():
        return Error(previous.error)
    base = StoredDocument("") if previous.ok is None else previous.ok.document
    changed = replace(
        base,
        text=text.ok,
        author=req.author,
        change="promotion" if req.source else "document",
        source=req.source,
    )
    written = await store.write(name, changed, previous.ok)
    return written.map(lambda item: document_body(name, item))


async def _read_expected(
    store: DocumentStore, name: str, expected: str | None
) -> Result[VersionedDocument | None, Failure]:
    if expected is None:
        return Ok(None)
    if not expected.isdecimal():
        detail = "If-Match must contain a generation, such as 12"
        return Error(Failure(ErrorKind.BAD_REQUEST, detail))
    result = await store.read(name)
    if result.is_error():
        return Error(result.error)
    if result.ok.generation != int(expected):
        return Error(conflict(name, result.ok))
    return Ok(result.ok)


def _valid_text(body: bytes) -> Result[str, Failure]:
    try:
        text = body.decode()
        parse_environment(text)
    except (InvalidFileError, UnicodeDecodeError) as exc:
        return Error(Failure(ErrorKind.INVALID_DOCUMENT, str(exc)))
    return Ok(text)
