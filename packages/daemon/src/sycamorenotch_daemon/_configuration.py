"""Watches the environment's document and puts newer generations in force."""

from __future__ import annotations

from datetime import timedelta
from typing import ClassVar
from typing import Protocol
from typing import final

from twisted.internet.defer import CancelledError
from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater

from sycamorenotch_daemon._configuration_events import ConfigurationContradicted
from sycamorenotch_daemon._configuration_events import ConfigurationPushDamaged
from sycamorenotch_daemon._configuration_events import StoreBehind
from sycamorenotch_daemon._document_codec import InvalidEnvelopeError
from sycamorenotch_daemon._document_codec import decode_document
from sycamorenotch_daemon._events import ConfigurationInvalid
from sycamorenotch_daemon._events import ConfigurationUnavailable
from sycamorenotch_daemon._membership import FleetMembership
from sycamorenotch_daemon._node import Node
from sycamorenotch_daemon._node import ServedConfiguration
from sycamorenotch_daemon._peer_greeting import PeerIdentity
from sycamorenotch_daemon._peer_mesh import PeerMesh
from sycamorenotch_documents import InvalidFileError
from sycamorenotch_documents import parse_environment
from sycamorenotch_kernel import ConfigurationPush
from sycamorenotch_kernel import ConfigurationRequest
from sycamorenotch_kernel import Heartbeat
from sycamorenotch_kernel import InstanceId
from sycamorenotch_kernel import StoredObject
from sycamorenotch_kernel import StoreError
from sycamorenotch_kernel import StoreFault
from sycamorenotch_kernel import Version
from sycamorenotch_kernel import components
from sycamorenotch_policies import ConfigurationHistory
from sycamorenotch_policies import ConfigurationText
from sycamorenotch_policies import Confirmation

ENVIRONMENT_KIND = "environments"
READ_TIMEOUT = timedelta(seconds=2)
WATCH_TIMEOUT = timedelta(seconds=30)
RETRY_DELAY = timedelta(seconds=1)
ROLE_CHECK_INTERVAL = timedelta(milliseconds=500)
REQUEST_INTERVAL = timedelta(milliseconds=300)


class Readiness(Protocol):
    """Readiness check that the callers' front end answers from."""

    def is_ready(self) -> bool:
        """Return whether the configuration in force may be served to callers."""
        ...


@components.register("configuration")
@final
class ConfigurationWatch:
    """Accepts newer documents from the store or from peers and forwards them.

    Only the watchers of a data centre watch the store. They push each change to
    the other instances of the data centre. An instance that missed a push sees
    the newer generation in a heartbeat and requests it.
    """

    after: ClassVar[tuple[str, ...]] = ("membership",)

    def __init__(self, node: Node) -> None:
        self._node = node
        self._mesh = node.require(PeerMesh)
        self._fleet = node.require(FleetMembership)
        self._history = ConfigurationHistory()
        self._confirmation = Confirmation()
        self._pushed_generations: dict[InstanceId, int] = {}
        self._last_request_at = -REQUEST_INTERVAL
        self._stopped = False
        self._watching: Deferred[None] | None = None
        self._mesh.handle(Heartbeat, self._on_heartbeat)
        self._mesh.handle(ConfigurationRequest, self._on_request)
        self._mesh.handle(ConfigurationPush, self._on_push)
        self._mesh.observe(
            lambda peer: self._pushed_generations.pop(peer.instance, None)
        )
        node.provide(Readiness, self)  # type: ignore[type-abstract]

    async def start(self) -> None:
        """Read the document once and start the watch loop."""
        await self._read()
        self._watching = Deferred.fromCoroutine(self._watch())
        self._watching.addErrback(lambda failure: failure.trap(CancelledError) and None)

    async def stop(self) -> None:
        """Cancel the watch loop."""
        self._stopped = True
        if self._watching is not None:
            self._watching.cancel()

    def is_ready(self) -> bool:
        """Return whether the configuration in force may be served to callers.

        :return: true once a document was read from the store, or once two peers,
            or the only connected one, have reported their generations and none is
            newer; it stays true from then on.
        """
        generation = self._node.configuration.generation
        return self._confirmation.try_confirm(generation, len(self._mesh.connected()))

    async def _read(self) -> None:
        name = self._node.settings.environment
        result = await self._node.store.get(ENVIRONMENT_KIND, name, READ_TIMEOUT)
        if result.is_ok():
            self._accept_stored(result.ok)
        elif result.error.fault is not StoreFault.NOT_FOUND:
            self._report(result.error)

    async def _watch(self) -> None:
        after = Version(self._node.configuration.generation)
        while not self._stopped:
            if not self._fleet.is_watcher():
                await self._sleep(ROLE_CHECK_INTERVAL)
                continue
            watched = await self._node.store.watch(
                ENVIRONMENT_KIND, after, WATCH_TIMEOUT
            )
            if watched.is_error():
                self._report(watched.error)
                await self._sleep(RETRY_DELAY)
                continue
            after = watched.ok.version
            for stored in watched.ok.objects:
                if stored.name == self._node.settings.environment:
                    self._accept_stored(stored)

    async def _sleep(self, delay: timedelta) -> None:
        jitter = 0.5 + self._node.random.random()
        await deferLater(self._node.reactor, delay.total_seconds() * jitter)

    def _accept_stored(self, stored: StoredObject) -> None:
        in_force = self._node.configuration.generation
        if stored.version < in_force:
            self._node.sink.emit(StoreBehind(stored.version, in_force))
            return
        self._confirmation.record_store_read()
        self._accept(ConfigurationText.of(stored.version, stored.value))

    def _accept(self, candidate: ConfigurationText) -> None:
        if not accept_document(self._node, candidate):
            return
        self._history.add(candidate)
        if self._fleet.is_watcher():
            self._push_to_members(candidate.generation)

    def _push_to_members(self, generation: int) -> None:
        known_generations = {m.instance: m.generation for m in self._fleet.members()}
        own_data_centre = self._node.settings.data_centre
        for peer in self._mesh.connected():
            sent = self._pushed_generations.get(peer.instance, 0)
            base = max(sent, known_generations.get(peer.instance, 0))
            if peer.data_centre == own_data_centre and base < generation:
                push = self._history.make_push(base)
                if push is not None and self._mesh.send(peer.instance, push):
                    self._pushed_generations[peer.instance] = generation

    def _on_heartbeat(self, peer: PeerIdentity, message: Heartbeat) -> None:
        self._confirmation.record_peer_generation(peer.instance, message.generation)
        current = self._node.configuration.current
        generation = self._node.configuration.generation
        if message.generation > generation:
            self._request(peer)
        elif current is not None and message.generation == generation:
            if not bytes.fromhex(current.digest).startswith(message.digest):
                event = ConfigurationContradicted(peer.instance, generation)
                self._node.sink.emit(event)

    def _request(self, peer: PeerIdentity, *, full: bool = False) -> None:
        now = self._node.clock.monotonic()
        if now - self._last_request_at < REQUEST_INTERVAL and not full:
            return
        generation = 0 if full else self._node.configuration.generation
        if self._mesh.send(peer.instance, ConfigurationRequest(generation)):
            self._last_request_at = now

    def _on_request(self, peer: PeerIdentity, message: ConfigurationRequest) -> None:
        push = self._history.make_push(message.generation)
        if push is not None:
            self._mesh.send(peer.instance, push)

    def _on_push(self, peer: PeerIdentity, message: ConfigurationPush) -> None:
        if message.generation <= self._node.configuration.generation:
            return
        text = self._history.apply_push(message)
        if text is not None:
            self._accept(text)
        elif message.base:
            self._request(peer, full=True)
        else:
            event = ConfigurationPushDamaged(peer.instance, message.generation)
            self._node.sink.emit(event)

    def _report(self, error: StoreError) -> None:
        self._node.sink.emit(ConfigurationUnavailable(error.fault.name, error.detail))


def accept_document(node: Node, candidate: ConfigurationText) -> bool:
    """Validate a document and put it in force if its generation is newer.

    :return: whether the candidate was put in force.
    """
    if candidate.generation <= node.configuration.generation:
        return False
    try:
        document = decode_document(candidate.text)
        environment = parse_environment(document.text)
    except (InvalidFileError, InvalidEnvelopeError) as exc:
        node.sink.emit(ConfigurationInvalid(candidate.generation, str(exc)))
        return False
    return node.configuration.put(
        ServedConfiguration(
            environment=environment,
            generation=candidate.generation,
            digest=candidate.digest.hex(),
            text=candidate.text.decode(),
            drains=document.drains,
        )
    )
