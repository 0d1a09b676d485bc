"""Reads the requests that a client sends on one connection."""

from __future__ import annotations

import sys
from collections.abc import Callable
from typing import final

import h11

from sycamorenotch_transport._http1_exchange import SAFE_METHODS
from sycamorenotch_transport._http1_exchange import Exchange

# Bytes that a parser gets at once of a request that others may run beside; each parser
# of a request in progress keeps the part of them that belongs to those behind it.
PIPELINED_PIECE_BYTES = 4_096
# Bytes that a parser gets at once of a chunked body, which may be thousands of chunks.
CHUNKED_PIECE_BYTES = 16_384
# Parser steps of a request's head, for each header field; a further one for the rest.
STEPS_PER_FIELD = 0.25
# Header fields beyond these are counted, with the memory of each parsed one.
USUAL_FIELDS = 64
PARSED_FIELD_BYTES = 200
# Bytes of chunk headers, extensions and trailers of a body, beside a multiple of its
# length. A body in chunks of one byte has five of them for each byte.
FREE_FRAMING_BYTES = 65_536
FRAMING_PER_BODY_BYTE = 64

ReceiveBody = Callable[[Exchange, bytes | bytearray], bool]


class FramingTooLongError(h11.RemoteProtocolError):
    """The framing of a chunked body exceeds its limit."""


@final
class RequestReader:
    """Splits the input of a connection into requests.

    :param header_bytes: returns the maximum size of a request line and headers.
    :param receive_body: called with each piece of a body; returns whether to go on.
    """

    def __init__(
        self, header_bytes: Callable[[], int], receive_body: ReceiveBody
    ) -> None:
        self._header_bytes = header_bytes
        self._receive_body = receive_body
        # Input that no parser has got yet.
        self.input = b""
        self.receiving: Exchange | None = None
        self._parser: h11.Connection | None = None
        # Part of unfinished headers that their parser has got.
        self._head_bytes = 0
        # No further request is read.
        self.ended = False
        # Whether the last call of :meth:`read` stopped with more to read.
        self.interrupted = False
        # Steps that are left of it; a long head may take more.
        self.steps_left = 0

    @property
    def pending(self) -> bool:
        """Whether any part of a request was received and not taken."""
        return self.receiving is not None or bool(self.input)

    @property
    def receiving_body(self) -> bool:
        """Whether the headers of the next request are complete."""
        return self.receiving is not None and self.receiving.head is not None

    @property
    def pending_bytes(self) -> int:
        """Size of the input before a body, and of what many header fields take."""
        size = len(self.input) + self._head_bytes
        if self.receiving is not None:
            size += PARSED_FIELD_BYTES * max(0, self.receiving.fields - USUAL_FIELDS)
        return size

    def add(self, data: bytes) -> None:
        """Add input."""
        self.input = self.input + data if self.input else data

    def end(self) -> None:
        """Read no further request; what was received counts as not read."""
        self.ended = True
        self.input = b""

    def release(self) -> None:
        """Forget all input and its parser, as the connection is closed."""
        self.end()
        self.receiving = self._parser = None
        self._head_bytes = 0

    def read(self, steps: int = sys.maxsize) -> Exchange | None:
        """Read on in the next request.

        :param steps: events of the parser that are handled at most.
        :return: the next request if it is complete; it stays the next one until
            :meth:`take`.
        :raises h11.RemoteProtocolError: if the request is malformed.
        """
        self.interrupted = False
        self.steps_left = steps
        while not self.ended:
            exchange = self.receiving
            if exchange is None:
                if not self.input:
                    return None
                exchange = self.receiving = self.build_exchange()
                self._feed(exchange)
            if exchange.complete:
                return exchange
            if self.steps_left <= 0:
                self.interrupted = True
                return None
            if not self._read_event(exchange):
                return None
        return None

    def take(self) -> None:
        """Remove the next request."""
        self.receiving = None

    def reuse(self, exchange: Exchange) -> None:
        """Reuse the parser of a request that was answered, if that is possible."""
        if self.receiving is None and not exchange.followed:
            exchange.http.start_next_cycle()
            self._parser = exchange.http

    def build_exchange(self) -> Exchange:
        """Return an exchange whose request is not received yet."""
        parser, self._parser = self._parser, None
        if parser is None:
            limit = self._header_bytes()
            parser = h11.Connection(h11.SERVER, max_incomplete_event_size=limit)
        return Exchange(parser)

    def _read_event(self, exchange: Exchange) -> bool:
        """Handle one event of the parser.

        :return: whether to go on.
        """
        event = exchange.http.next_event()
        if event is h11.NEED_DATA:
            return self._feed(exchange)
        self.steps_left -= 1
        if isinstance(event, h11.Request):
            exchange.start_body(event)
            self.steps_left -= int(len(event.headers) * STEPS_PER_FIELD)
            self._head_bytes = 0
        elif isinstance(event, h11.Data):
            return self._receive_body(exchange, event.data)
        elif isinstance(event, h11.EndOfMessage):
            exchange.complete = True
            behind, _ = exchange.http.trailing_data
            if behind:
                exchange.followed = True
                self.input = behind + self.input
        return True

    def _feed(self, exchange: Exchange) -> bool:
        """Give the parser input.

        :return: whether there was any.
        :raises FramingTooLongError: if the framing of a body exceeds its limit.
        """
        if not self.input:
            return False
        if exchange.head is None or exchange.head.method in SAFE_METHODS:
            size = PIPELINED_PIECE_BYTES
        elif exchange.chunked:
            size = CHUNKED_PIECE_BYTES
        else:
            size = len(self.input)
        piece, self.input = self.input[:size], self.input[size:]
        if exchange.head is None:
            self._head_bytes += len(piece)
        elif exchange.chunked:
            exchange.chunked_bytes += len(piece)
            allowed = FREE_FRAMING_BYTES + FRAMING_PER_BODY_BYTE * exchange.body_bytes
            if exchange.chunked_bytes - exchange.body_bytes > allowed:
                detail = "the framing of the request body takes too many bytes"
                raise FramingTooLongError(detail)
        exchange.http.receive_data(piece)
        return True
