"""Memory for the response bodies that are being received."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol
from typing import final


@final
@dataclass(frozen=True, slots=True)
class ResponseLimits:
    """Limits on what a server may send.

    :param body_bytes: maximum size of one response body.
    :param buffered_bytes: maximum size of all bodies in memory together.
    :param informational: maximum number of informational responses to a request.
    :param discarded: maximum number of responses to other requests that are
        discarded while one is awaited.
    :param free_pieces: number of body pieces of any size.
    :param piece_bytes: minimum mean size of the further pieces. Each piece costs
        processor time, whatever its size.
    """

    body_bytes: int = 16_777_216
    buffered_bytes: int = 33_554_432
    informational: int = 20
    discarded: int = 8
    free_pieces: int = 1_024
    piece_bytes: int = 64


class BufferHolder(Protocol):
    """A connection that receives a response body."""

    def reject_response(self, detail: str) -> None:
        """Close the connection, which releases its buffer."""
        ...


@final
class ResponseBuffers:
    """Bounds the memory of all response bodies that are being received.

    When it is used up, the largest body is rejected, so that a server which sends
    without end does not cost the others their responses.

    :param limits: limits on each response and on all together.
    """

    def __init__(self, limits: ResponseLimits | None = None) -> None:
        self.limits = ResponseLimits() if limits is None else limits
        self.total_bytes = 0
        self._sizes: dict[BufferHolder, int] = {}

    def add(self, holder: BufferHolder, size: int) -> int:
        """Count bytes that were received; this may reject any holder's response.

        :return: bytes that the holder has now, or 0 if its response was rejected.
        """
        self._sizes[holder] = self._sizes.get(holder, 0) + size
        self.total_bytes += size
        if self._sizes[holder] > self.limits.body_bytes:
            holder.reject_response("the response is too large")
        while self.total_bytes > self.limits.buffered_bytes:
            largest = max(self._sizes, key=self._sizes.__getitem__)
            largest.reject_response("the buffers for responses are full")
            self.release(largest)
        return self._sizes.get(holder, 0)

    def release(self, holder: BufferHolder) -> None:
        """Forget the bytes of a holder whose response is complete or rejected."""
        self.total_bytes -= self._sizes.pop(holder, 0)
