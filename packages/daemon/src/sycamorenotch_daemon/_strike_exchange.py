"""Exchange of quarantine strikes between the instances.

A strike records that a worker was lost while it ran a request.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import replace
from datetime import timedelta
from itertools import chain
from itertools import islice
from typing import ClassVar
from typing import final

from twisted.internet.task import LoopingCall

from sycamorenotch_daemon._node import Node
from sycamorenotch_daemon._peer_greeting import PeerIdentity
from sycamorenotch_daemon._peer_mesh import PeerMesh
from sycamorenotch_kernel import InstanceId
from sycamorenotch_kernel import Message
from sycamorenotch_kernel import components
from sycamorenotch_kernel import message
from sycamorenotch_policies import STRIKE_LIFETIME
from sycamorenotch_policies import Quarantine
from sycamorenotch_policies import Signature
from sycamorenotch_policies import Strike

EXCHANGE_INTERVAL = timedelta(milliseconds=500)
MAX_STRIKES_PER_MESSAGE = 16
# Of the newest strikes; a request needs only a few to be quarantined.
MAX_STRIKES_ON_CONNECT = 256
MAX_RECEIVED_STRIKES = 4096


@final
@dataclass(frozen=True, slots=True)
class StrikeEntry:
    """One strike in a message between instances.

    :param signature: signature of the request.
    :param worker: name of the worker that failed.
    :param origin: instance that recorded the strike, with its incarnation.
    :param sequence: number of the strike at its origin.
    :param age_ms: time since the strike was recorded, in milliseconds.
    """

    signature: str
    worker: str
    origin: str
    sequence: int
    age_ms: int


@message(10, "strikes")
@final
@dataclass(frozen=True, slots=True)
class StrikesReport(Message):
    """Strikes that the sender recorded or received."""

    strikes: tuple[StrikeEntry, ...]


@final
@dataclass(frozen=True, slots=True)
class _ReceivedStrike:
    entry: StrikeEntry
    received_at: timedelta

    def at(self, now: timedelta) -> StrikeEntry:
        """Return the strike with its age at a monotonic time."""
        elapsed_ms = round((now - self.received_at) / timedelta(milliseconds=1))
        return replace(self.entry, age_ms=self.entry.age_ms + elapsed_ms)


@components.register("strikes")
@final
class StrikeExchange:
    """Sends the strikes of this instance and forwards those that are new to it.

    A strike is forwarded only when it is new to this instance, so that forwarding
    ends. A peer whose stream opens later gets all strikes that still count.
    """

    after: ClassVar[tuple[str, ...]] = ("peers", "calls")

    def __init__(self, node: Node) -> None:
        self._node = node
        self._mesh = node.require(PeerMesh)
        # The incarnation is included, because a restarted instance numbers its
        # strikes from 1 again.
        self._origin = f"{node.settings.instance}/{self._mesh.incarnation}"
        self._last_sent_sequence = 0
        self._received: OrderedDict[tuple[str, int], _ReceivedStrike] = OrderedDict()
        self._loop = LoopingCall(self._send_new_strikes)
        self._loop.clock = node.reactor
        self._mesh.handle(StrikesReport, self._on_report)
        self._mesh.observe(self._on_connected)

    async def start(self) -> None:
        """Start to send new strikes periodically."""
        self._loop.start(EXCHANGE_INTERVAL.total_seconds(), now=False)

    async def stop(self) -> None:
        """Stop sending."""
        if self._loop.running:
            self._loop.stop()

    def _send_new_strikes(self) -> None:
        quarantine = self._node.find(Quarantine)
        if quarantine is None:
            return
        now = self._node.clock.monotonic()
        strikes = quarantine.strikes_since(self._last_sent_sequence, now)[
            :MAX_STRIKES_PER_MESSAGE
        ]
        if strikes:
            self._last_sent_sequence = strikes[-1].sequence
            self._send(map(self._encode_strike, strikes), except_to=None)

    def _on_report(self, peer: PeerIdentity, report: StrikesReport) -> None:
        quarantine = self._node.find(Quarantine)
        if quarantine is None:
            return
        new_strikes = [
            s for s in report.strikes[:MAX_STRIKES_PER_MESSAGE] if self._is_new(s)
        ]
        if not new_strikes:
            return
        quarantine.merge(map(_decode_strike, new_strikes), self._node.clock.monotonic())
        self._send(new_strikes, except_to=peer.instance)

    def _on_connected(self, peer: PeerIdentity) -> None:
        """Send the strikes that a peer may have missed before its stream opened."""
        now = self._node.clock.monotonic()
        quarantine = self._node.find(Quarantine)
        if quarantine is None:
            return
        own = quarantine.strikes_since(0, now)
        # Strikes that were not sent yet follow with the next report to all peers.
        sent = (s for s in own if s.sequence <= self._last_sent_sequence)
        received = (item.at(now) for item in self._received.values())
        max_age_ms = STRIKE_LIFETIME / timedelta(milliseconds=1)
        current = [
            entry
            for entry in chain(map(self._encode_strike, sent), received)
            if entry.age_ms <= max_age_ms
            and quarantine.is_suspect(Signature(entry.signature))
        ]
        newest = iter(sorted(current, key=lambda e: e.age_ms)[:MAX_STRIKES_ON_CONNECT])
        while batch := tuple(islice(newest, MAX_STRIKES_PER_MESSAGE)):
            self._mesh.send(peer.instance, StrikesReport(batch))

    def _encode_strike(self, strike: Strike) -> StrikeEntry:
        age_ms = round(strike.age / timedelta(milliseconds=1))
        return StrikeEntry(
            strike.signature, strike.worker, self._origin, strike.sequence, age_ms
        )

    def _is_new(self, entry: StrikeEntry) -> bool:
        strike_id = (entry.origin, entry.sequence)
        if strike_id in self._received or entry.origin == self._origin:
            return False
        received = _ReceivedStrike(entry, self._node.clock.monotonic())
        self._received[strike_id] = received
        if len(self._received) > MAX_RECEIVED_STRIKES:
            self._received.popitem(last=False)
        return True

    def _send(
        self, strikes: Iterable[StrikeEntry], *, except_to: InstanceId | None
    ) -> None:
        report = StrikesReport(tuple(strikes))
        for peer in self._mesh.connected():
            if peer.instance != except_to:
                self._mesh.send(peer.instance, report)


def _decode_strike(entry: StrikeEntry) -> Strike:
    return Strike(
        Signature(entry.signature),
        entry.worker,
        entry.origin,
        entry.sequence,
        timedelta(milliseconds=max(0, entry.age_ms)),
    )
