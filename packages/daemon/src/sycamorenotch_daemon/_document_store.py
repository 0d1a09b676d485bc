"""Conditional writes of environment documents."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace
from datetime import timedelta
from typing import final

from expression import Error
from expression import Ok
from expression import Result

from sycamorenotch_daemon._configuration import ENVIRONMENT_KIND
from sycamorenotch_daemon._document_codec import InvalidEnvelopeError
from sycamorenotch_daemon._document_codec import Revision
from sycamorenotch_daemon._document_codec import StoredDocument
from sycamorenotch_daemon._document_codec import decode_document
from sycamorenotch_daemon._document_codec import encode_document
from sycamorenotch_daemon._node import Node
from sycamorenotch_kernel import ErrorKind
from sycamorenotch_kernel import Failure
from sycamorenotch_kernel import StoredObject
from sycamorenotch_kernel import StoreError
from sycamorenotch_kernel import StoreFault
from sycamorenotch_kernel import Version

CALL_TIMEOUT = timedelta(seconds=2)
WRITE_ATTEMPTS = 3


@final
@dataclass(frozen=True, slots=True)
class VersionedDocument:
    """An environment's stored document and its generation."""

    generation: int
    document: StoredDocument

    @property
    def history(self) -> tuple[Revision, ...]:
        """This generation and earlier ones, the newest first."""
        return self.document.history_at(self.generation)


@final
class DocumentStore:
    """Reads and writes the stored documents of environments.

    Each write has an attempt identifier. If the outcome of a write is unknown,
    the document is read back and the identifier shows whether it took effect.
    """

    def __init__(self, node: Node) -> None:
        self._node = node

    async def read(self, name: str) -> Result[VersionedDocument, Failure]:
        """Read the stored document of an environment."""
        result = await self._node.store.get(ENVIRONMENT_KIND, name, CALL_TIMEOUT)
        if result.is_error():
            return Error(_to_failure(result.error, name))
        return _decode(result.ok)

    async def write(
        self, name: str, changed: StoredDocument, base: VersionedDocument | None
    ) -> Result[VersionedDocument, Failure]:
        """Write a changed document if its base is still the newest generation.

        :param base: the version that the change is based on, or None to create.
        """
        stamped = replace(
            changed,
            at=self._node.clock.now(),
            attempt=self._node.ids.attempt(),
            history=() if base is None else base.history,
        )
        for _ in range(WRITE_ATTEMPTS):
            written = await self._write_once(name, encode_document(stamped), base)
            if written.is_ok():
                return _decode(written.ok)
            if written.error.fault not in (StoreFault.UNKNOWN, StoreFault.CONFLICT):
                return Error(_to_failure(written.error, name))
            resolved = await self._resolve_unknown_outcome(name, stamped.attempt, base)
            if resolved is not None:
                return resolved
        detail = "no answer from the store; unknown whether the write took effect"
        return Error(Failure(ErrorKind.STORE_UNAVAILABLE, detail))

    async def _write_once(
        self, name: str, value: bytes, base: VersionedDocument | None
    ) -> Result[StoredObject, StoreError]:
        store = self._node.store
        if base is None:
            return await store.create(ENVIRONMENT_KIND, name, value, CALL_TIMEOUT)
        expected = Version(base.generation)
        return await store.update(ENVIRONMENT_KIND, name, value, expected, CALL_TIMEOUT)

    async def _resolve_unknown_outcome(
        self, name: str, attempt: str, base: VersionedDocument | None
    ) -> Result[VersionedDocument, Failure] | None:
        """Resolve a write of unknown outcome or with a conflict.

        The conflict may be with an earlier attempt of the same write that took
        effect.

        :return: the outcome, or None if the write may be retried.
        """
        result = await self.read(name)
        if result.is_error():
            return None
        current = result.ok
        if any(item.attempt == attempt for item in current.history):
            return Ok(current)
        if base is not None and current.generation == base.generation:
            return None
        return Error(conflict(name, current))


def conflict(name: str, current: VersionedDocument) -> Failure:
    """Return a conflict that names the author and time of the newer generation."""
    document = current.document
    author = document.author or "an unknown author"
    when = "" if document.at is None else f" at {document.at.isoformat()}"
    what = f" ({document.change})" if document.change else ""
    detail = (
        f"{name} is at generation {current.generation}, written by {author}{when}{what}"
    )
    return Failure(ErrorKind.CONFLICT, detail)


def _decode(stored: StoredObject) -> Result[VersionedDocument, Failure]:
    try:
        document = decode_document(stored.value)
    except InvalidEnvelopeError as exc:
        return Error(Failure(ErrorKind.INVALID_DOCUMENT, str(exc)))
    return Ok(VersionedDocument(stored.version, document))


def _to_failure(error: StoreError, name: str) -> Failure:
    if error.fault is StoreFault.NOT_FOUND:
        return Failure(ErrorKind.NOT_FOUND, f"there is no environment {name!r}")
    return Failure(ErrorKind.STORE_UNAVAILABLE, f"{error.fault.value}: {error.detail}")
