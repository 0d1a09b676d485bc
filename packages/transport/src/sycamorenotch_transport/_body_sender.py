"""Sends a request body in pieces, no faster than the server reads it."""

from __future__ import annotations

from typing import Any
from typing import final

import h11
from twisted.internet.interfaces import IPushProducer
from zope.interface import implementer

# The transport's buffer holds at most two pieces.
PIECE_BYTES = 65_536


@implementer(IPushProducer)
@final
class BodySender:
    """Sends one request.

    :param http: encoder of the connection, which has encoded the head.
    :param body: the complete body, which is not copied as a whole.
    """

    def __init__(self, http: h11.Connection, transport: Any, body: bytes) -> None:
        self._http = http
        self._transport = transport
        self._rest = memoryview(body)
        self._registered = False
        self._paused = False
        self.done = False

    def start(self, head: bytes) -> None:
        """Send the head and the begin of the body.

        :raises h11.LocalProtocolError: if the body does not fit the head; then nothing
            has been sent.
        """
        if len(self._rest) <= PIECE_BYTES:
            self._transport.write(head + self._take_piece() + self._end())
            return
        first = self._take_piece()
        self._registered = True
        self._transport.registerProducer(self, True)
        self._transport.write(head + first)
        self._send_pieces()

    def pauseProducing(self) -> None:
        """Stop sending, as the transport's buffer is full."""
        self._paused = True

    def resumeProducing(self) -> None:
        """Go on sending."""
        self._paused = False
        self._send_pieces()

    def stopProducing(self) -> None:
        """Send no more, and release the body."""
        self._rest = memoryview(b"")
        if self._registered:
            self._registered = False
            self._transport.unregisterProducer()

    def _send_pieces(self) -> None:
        while self._registered and not self._paused:
            piece = self._take_piece()
            if not self._rest:
                # The end is encoded before the producer is unregistered, and sent with
                # the last piece.
                end = self._end()
                self.stopProducing()
                piece += end
            self._transport.write(piece)

    def _take_piece(self) -> bytes:
        piece, self._rest = self._rest[:PIECE_BYTES], self._rest[PIECE_BYTES:]
        return self._http.send(h11.Data(data=piece)) or b"" if piece else b""

    def _end(self) -> bytes:
        end = self._http.send(h11.EndOfMessage()) or b""
        self.done = True
        return end
