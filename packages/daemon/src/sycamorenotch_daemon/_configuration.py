"""Keeps the newest configuration of the environment in force."""

from __future__ import annotations

import hashlib
from datetime import timedelta
from typing import ClassVar
from typing import final

from twisted.internet.defer import CancelledError
from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater

from sycamorenotch_daemon._document_codec import InvalidEnvelopeError
from sycamorenotch_daemon._document_codec import decode_document
from sycamorenotch_daemon._events import ConfigurationInvalid
from sycamorenotch_daemon._events import ConfigurationUnavailable
from sycamorenotch_daemon._node import InForce
from sycamorenotch_daemon._node import Node
from sycamorenotch_documents import InvalidFileError
from sycamorenotch_documents import parse_environment
from sycamorenotch_kernel import StoredObject
from sycamorenotch_kernel import StoreError
from sycamorenotch_kernel import StoreFault
from sycamorenotch_kernel import Version
from sycamorenotch_kernel import components

ENVIRONMENT_KIND = "environments"
READ_TIMEOUT = timedelta(seconds=2)
WATCH_TIMEOUT = timedelta(seconds=30)
RETRY_DELAY = timedelta(seconds=1)


@components.register("configuration")
@final
class ConfigurationWatch:
    """Reads the document from the store and watches for newer ones."""

    after: ClassVar[tuple[str, ...]] = ()

    def __init__(self, node: Node) -> None:
        self._node = node
        self._loop: Deferred[None] | None = None

    async def start(self) -> None:
        """Read the document once and start to watch."""
        name = self._node.settings.environment
        found = await self._node.store.get(ENVIRONMENT_KIND, name, READ_TIMEOUT)
        if found.is_ok():
            accept_document(self._node, found.ok)
        elif found.error.fault is not StoreFault.NOT_FOUND:
            self._report(found.error)
        self._loop = Deferred.fromCoroutine(self._watch())
        self._loop.addErrback(lambda failure: failure.trap(CancelledError) and None)

    async def stop(self) -> None:
        """Stop watching."""
        if self._loop is not None:
            self._loop.cancel()

    async def _watch(self) -> None:
        after = Version(self._node.configuration.generation)
        while True:
            changes = await self._node.store.watch(
                ENVIRONMENT_KIND, after, WATCH_TIMEOUT
            )
            if changes.is_error():
                self._report(changes.error)
                await deferLater(self._node.reactor, RETRY_DELAY.total_seconds())
                continue
            after = changes.ok.version
            for stored in changes.ok.objects:
                if stored.name == self._node.settings.environment:
                    accept_document(self._node, stored)

    def _report(self, error: StoreError) -> None:
        self._node.sink.emit(ConfigurationUnavailable(error.fault.name, error.detail))


def accept_document(node: Node, stored: StoredObject) -> bool:
    """Validate a stored document and put it in force if it is newer.

    :return: whether the document is in force now.
    """
    try:
        document = decode_document(stored.value)
        environment = parse_environment(document.text)
    except (InvalidFileError, InvalidEnvelopeError) as exc:
        node.sink.emit(ConfigurationInvalid(stored.version, str(exc)))
        return False
    digest = hashlib.sha256(stored.value).hexdigest()
    return node.configuration.put(
        InForce(
            environment=environment,
            generation=stored.version,
            digest=digest,
            text=stored.value.decode(),
            drains=document.drains,
        )
    )
