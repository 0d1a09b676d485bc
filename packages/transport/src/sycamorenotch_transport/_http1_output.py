"""Output of a connection, which is written no faster than the peer reads it."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Any
from typing import final

from twisted.internet.interfaces import IPullProducer
from zope.interface import implementer

from sycamorenotch_transport._sockets import count_acknowledged_bytes

# Bytes that are in the transport's buffer at most. The transport copies its buffer.
PIECE_BYTES = 65_536


@implementer(IPullProducer)
@final
class ConnectionOutput:
    """Writes data in pieces of bounded size.

    :param on_sent: called with the number of bytes that the transport has sent.
    """

    def __init__(self, transport: Any, on_sent: Callable[[int], None]) -> None:
        self._transport = transport
        self._on_sent = on_sent
        self._queue: deque[memoryview] = deque()
        self._in_transport = 0
        self._drains = 0
        self._closing = False
        # Bytes that are not sent yet.
        self.size = 0
        # Unlike a push producer, this one is told whenever all has been sent.
        transport.registerProducer(self, False)

    @property
    def progress(self) -> tuple[int, int]:
        """Value that changes whenever the peer reads."""
        return self._drains, count_acknowledged_bytes(self._transport)

    @property
    def full(self) -> bool:
        """Whether so much is unsent that nothing should be added."""
        return self.size >= PIECE_BYTES

    def write(self, parts: list[bytes]) -> None:
        """Write the parts of a message after what was written before."""
        size = sum(map(len, parts))
        if size <= PIECE_BYTES:
            parts = [b"".join(parts)]
        self.size += size
        for data in parts:
            self._append(data)

    def _append(self, data: bytes) -> None:
        if not self._queue and self._in_transport + len(data) <= PIECE_BYTES:
            self._in_transport += len(data)
            self._transport.write(data)
            return
        self._queue.append(memoryview(data))
        self._pump()

    def close(self) -> None:
        """Close the connection when everything has been sent."""
        self._closing = True
        if not self._queue:
            # The transport does not close while a producer is registered.
            self._transport.unregisterProducer()
            self._transport.loseConnection()

    def discard(self) -> None:
        """Forget what the transport has not got."""
        self._queue.clear()

    def _pump(self) -> None:
        while self._queue and self._in_transport < PIECE_BYTES:
            view = self._queue.popleft()
            room = PIECE_BYTES - self._in_transport
            if len(view) > room:
                self._queue.appendleft(view[room:])
            piece = bytes(view[:room])
            self._in_transport += len(piece)
            self._transport.write(piece)

    def resumeProducing(self) -> None:
        """Write the next piece; the transport has sent all it had."""
        if not self._in_transport:
            return
        self._drains += 1
        sent, self._in_transport = self._in_transport, 0
        self.size -= sent
        self._pump()
        if self._closing and not self._queue:
            self.close()
        self._on_sent(sent)

    def stopProducing(self) -> None:
        """Forget the output; the connection is lost."""
        self.discard()
