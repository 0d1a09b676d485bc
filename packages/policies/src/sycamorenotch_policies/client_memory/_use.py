"""What one client uses of an instance."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from enum import IntEnum
from enum import StrEnum
from typing import Protocol
from typing import final

# Estimates of what the process holds for a connection and for a request in progress,
# beside the bytes that are counted. Measured: 2.5 KB for each of 1,500 idle
# connections, 23 to 35 KB for each of 290 to 490 requests at silent workers.
CONNECTION_BYTES = 4_096
REQUEST_BYTES = 32_768
# Header fields that the estimate of a request includes, and the memory for each of the
# others: they are decoded, forwarded and encoded as objects of their own.
USUAL_FIELDS = 64
FIELD_BYTES = 640


@final
class ByteKind(IntEnum):
    """Kinds of bytes that are held for clients."""

    RECEIVED = 0
    BODY = 1
    RESPONSE = 2
    REQUEST = 3
    CONNECTION = 4


@final
class EvictionReason(StrEnum):
    """Why a client is closed or held back; also a label of the metrics."""

    UNREAD = "unread"
    SENT_AHEAD = "sent-ahead"
    PAUSED = "paused"
    MEMORY = "memory"
    CONNECTIONS = "connections"
    HELD_BACK = "held-back"


class EvictableClient(Protocol):
    """A connection that can be closed."""

    def evict(self, reason: EvictionReason) -> None:
        """Release all bytes of the client, and refuse or close it."""
        ...


def request_bytes(fields: int) -> int:
    """Estimate what the process holds for a request in progress.

    :param fields: number of its header fields.
    """
    return REQUEST_BYTES + FIELD_BYTES * max(0, fields - USUAL_FIELDS)


@final
@dataclass(eq=False, slots=True)
class ClientUse:
    """Bytes and requests of one connection.

    :param client: the connection.
    :ivar sizes: bytes by kind.
    :ivar requests: requests in progress.
    :ivar body_at: when the last bytes of a body were counted, on the clock.
    """

    client: EvictableClient
    sizes: list[int] = field(default_factory=lambda: [0] * len(ByteKind))
    requests: int = 0
    body_at: float = 0.0

    @property
    def total_bytes(self) -> int:
        """Bytes of all kinds."""
        return sum(self.sizes)

    @property
    def greedy_bytes(self) -> int:
        """Bytes of what the client leaves unread or has sent ahead."""
        extra = max(0, self.requests - 1) * REQUEST_BYTES
        return self.sizes[ByteKind.RECEIVED] + self.sizes[ByteKind.RESPONSE] + extra
