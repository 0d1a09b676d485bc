"""Servers that send bytes without end until the caller closes."""

from __future__ import annotations

from typing import Any

from testing.platform.standins import StandInWorker
from twisted.internet import reactor
from twisted.internet.interfaces import IPullProducer
from twisted.internet.protocol import Factory
from twisted.internet.protocol import Protocol
from twisted.internet.task import LoopingCall
from zope.interface import implementer

BLOCK_BYTES = 32_768
DRIP_INTERVAL_S = 0.02
HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
# What each kind sends first, and what it then repeats.
KINDS = {
    "no answer": (b"", b"x"),
    "status line": (b"HTTP/1.1 200 ", b"O"),
    "header line": (HEAD + b"A: ", b"x"),
    "headers": (HEAD, b"A: b\r\n"),
    "body without length": (HEAD + b"\r\n", b"x"),
    "body with length": (HEAD + b"Content-Length: 99999999999\r\n\r\n", b"x"),
    "chunk size": (CHUNKED, b"0"),
    "large chunks": (CHUNKED, b"8000\r\n" + b"x" * 0x8000 + b"\r\n"),
    "small chunks": (CHUNKED, b"1\r\nx\r\n"),
    "informational": (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n"),
    "other answers": (
        b"",
        HEAD + b"X-Attempt-Id: other\r\nContent-Length: 0\r\n\r\n",
    ),
}


@implementer(IPullProducer)
class EndlessAnswer(Protocol):
    """Connection on which the answer to a request does not end."""

    factory: EndlessServer

    def dataReceived(self, data: bytes) -> None:
        """Begin to answer at the first bytes of a request."""
        if self.factory.started_at_request(self):
            self.transport.write(self.factory.first)
            if self.factory.drips:
                self._drip = LoopingCall(self.resumeProducing)
                self._drip.start(DRIP_INTERVAL_S)
            else:
                self.transport.registerProducer(self, False)

    def connectionLost(self, reason: Any = None) -> None:
        """Stop sending."""
        if self.factory.drips and self in self.factory.answering:
            self._drip.stop()
        self.factory.answering.discard(self)
        self.factory.closed += 1

    def resumeProducing(self) -> None:
        """Send the next block."""
        repeated = self.factory.repeated
        count = 1 if self.factory.drips else max(1, BLOCK_BYTES // len(repeated))
        self.factory.sent_bytes += count * len(repeated)
        self.transport.write(repeated * count)

    def stopProducing(self) -> None:
        """Do nothing; the connection is lost."""


class EndlessServer(Factory):
    """Server that answers each request without end.

    :param kind: a key of ``KINDS``.
    :param drips: whether to send one repetition at a time, slowly.
    """

    protocol = EndlessAnswer
    noisy = False

    def __init__(self, kind: str, *, drips: bool = False) -> None:
        self.first, self.repeated = KINDS[kind]
        self.drips = drips
        self.answering: set[EndlessAnswer] = set()
        self.closed = 0
        self.sent_bytes = 0
        self.port = reactor.listenTCP(0, self, interface="127.0.0.1")

    @property
    def address(self) -> str:
        """``IP:port`` of the server."""
        host = self.port.getHost()
        return f"{host.host}:{host.port}"

    def started_at_request(self, connection: EndlessAnswer) -> bool:
        """Return whether this is the first data of a connection."""
        known = connection in self.answering
        self.answering.add(connection)
        return not known

    def entry(self, worker: StandInWorker) -> dict[str, Any]:
        """Return the entry of a worker that has this server's address."""
        return {**worker.entry, "address": self.address}
