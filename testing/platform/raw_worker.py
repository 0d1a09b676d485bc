"""Stand-in worker whose answers are raw bytes."""

from __future__ import annotations

from collections.abc import Callable

from twisted.internet import reactor
from twisted.internet.protocol import Factory
from twisted.internet.protocol import Protocol

from sycamorenotch_transport import get_header

# Returns the bytes to send, given the identifier of the request and its number on its
# connection, from 0.
Respond = Callable[[str, int], bytes]


def answer(
    attempt: str, status: str = "200 OK", extra: str = "", body: str = "ok"
) -> bytes:
    """Return a sound answer to a request."""
    head = f"HTTP/1.1 {status}\r\nX-Attempt-Id: {attempt}\r\n"
    head += f"X-Response-Signature: w.1\r\n{extra}Content-Length: {len(body)}\r\n\r\n"
    return (head + body).encode("latin-1")


class _Connection(Protocol):
    def __init__(self, worker: RawWorker) -> None:
        self._worker = worker
        self._buffer = b""
        self._count = 0

    def dataReceived(self, data: bytes) -> None:
        self._buffer += data
        while b"\r\n\r\n" in self._buffer:
            head, _, self._buffer = self._buffer.partition(b"\r\n\r\n")
            lines = head.decode("latin-1").split("\r\n")[1:]
            pairs = tuple(tuple(line.split(": ", 1)) for line in lines)
            attempt = get_header(pairs, "x-attempt-id")
            self._worker.ran.append(attempt)
            raw = self._worker.respond(attempt, self._count)
            reactor.callLater(self._worker.delay_s, self._write, raw)
            self._count += 1

    def _write(self, raw: bytes) -> None:
        self.transport.write(raw)
        if self._worker.closes:
            self.transport.loseConnection()


class RawWorker(Factory):
    """Answers requests without a body with the bytes that ``respond`` returns.

    :param closes: whether it closes the connection after each answer.
    """

    noisy = False

    def __init__(self, name: str, respond: Respond, *, closes: bool = False) -> None:
        self.name = name
        self.respond = respond
        self.closes = closes
        self.delay_s = 0.0
        self.ran: list[str] = []
        self.opened = 0
        self.port = reactor.listenTCP(0, self, interface="127.0.0.1")

    def buildProtocol(self, addr: object) -> _Connection:
        """Count the connection."""
        self.opened += 1
        return _Connection(self)

    @property
    def entry(self) -> dict[str, object]:
        """Entry in the store."""
        return {
            "service": "s",
            "address": f"127.0.0.1:{self.port.getHost().port}",
            "zone": "a",
            "slots": 4,
            "state": "ready",
        }
