"""Tells the other instances which requests brought down upstreams."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta
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
from sycamorenotch_policies import Quarantine
from sycamorenotch_policies import Signature
from sycamorenotch_policies import Strike

EXCHANGE_INTERVAL = timedelta(milliseconds=500)
STRIKES_PER_MESSAGE = 16
REMEMBERED = 4096


@final
@dataclass(frozen=True, slots=True)
class StrikeNews:
    """One strike on its way through the fleet.

    :param age_ms: time since it was seen, in milliseconds.
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
    """Strikes that the sender saw or was told."""

    strikes: tuple[StrikeNews, ...]


@components.register("strikes")
@final
class StrikeExchange:
    """Sends this instance's strikes and passes on those it has not seen.

    Each strike crosses each stream at most once in each direction, so that a
    flood of repeats ends by itself.
    """

    after: ClassVar[tuple[str, ...]] = ("peers", "calls")

    def __init__(self, node: Node) -> None:
        self._node = node
        self._mesh = node.require(PeerMesh)
        # A restarted instance counts its strikes from 1 again.
        self._origin = f"{node.settings.instance}/{self._mesh.incarnation}"
        self._sent = 0
        self._seen: OrderedDict[tuple[str, int], None] = OrderedDict()
        self._loop = LoopingCall(self._on_round)
        self._loop.clock = node.reactor
        self._mesh.handle(StrikesReport, self._on_report)

    async def start(self) -> None:
        """Start the rounds."""
        self._loop.start(EXCHANGE_INTERVAL.total_seconds(), now=False)

    async def stop(self) -> None:
        """Stop the rounds."""
        if self._loop.running:
            self._loop.stop()

    def _on_round(self) -> None:
        quarantine = self._node.find(Quarantine)
        if quarantine is None:
            return
        now = self._node.clock.monotonic()
        strikes = quarantine.strikes_since(self._sent, now)[:STRIKES_PER_MESSAGE]
        if strikes:
            self._sent = strikes[-1].sequence
            self._send(map(self._news, strikes), except_to=None)

    def _on_report(self, peer: PeerIdentity, report: StrikesReport) -> None:
        quarantine = self._node.find(Quarantine)
        fresh = [s for s in report.strikes[:STRIKES_PER_MESSAGE] if self._is_new(s)]
        if quarantine is None or not fresh:
            return
        quarantine.merge(map(_strike, fresh), self._node.clock.monotonic())
        self._send(fresh, except_to=peer.instance)

    def _news(self, strike: Strike) -> StrikeNews:
        age_ms = round(strike.age / timedelta(milliseconds=1))
        return StrikeNews(
            strike.signature, strike.worker, self._origin, strike.sequence, age_ms
        )

    def _is_new(self, news: StrikeNews) -> bool:
        identity = (news.origin, news.sequence)
        if identity in self._seen or news.origin == self._origin:
            return False
        self._seen[identity] = None
        if len(self._seen) > REMEMBERED:
            self._seen.popitem(last=False)
        return True

    def _send(
        self, strikes: Iterable[StrikeNews], *, except_to: InstanceId | None
    ) -> None:
        report = StrikesReport(tuple(strikes))
        for peer in self._mesh.connected():
            if peer.instance != except_to:
                self._mesh.send(peer.instance, report)


def _strike(news: StrikeNews) -> Strike:
    return Strike(
        Signature(news.signature),
        news.worker,
        news.origin,
        news.sequence,
        timedelta(milliseconds=max(0, news.age_ms)),
    )
