"""Socket options for detecting dead peers."""

from __future__ import annotations

import socket
import sys
from typing import Any

# Without traffic, a dead peer is detected after about IDLE + COUNT * INTERVAL
# seconds.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_COUNT = 2
# Maximum time that sent data may remain unacknowledged.
USER_TIMEOUT_MS = 4_000
# Unsent data in the kernel's buffer from which a connection is not writable. Enough for
# several pieces of output, so that a client that reads fast is not held up.
UNSENT_BYTES = 131_072

# Size of Linux's ``struct tcp_info`` up to the field ``tcpi_bytes_acked``, and the
# offset of that field.
TCP_INFO_BYTES = 128
ACKNOWLEDGED_OFFSET = 120

_OPTIONS = (
    ("TCP_KEEPIDLE", KEEPALIVE_IDLE_S),
    ("TCP_KEEPINTVL", KEEPALIVE_INTERVAL_S),
    ("TCP_KEEPCNT", KEEPALIVE_COUNT),
)


def configure_socket(transport: Any, user_timeout_ms: int = USER_TIMEOUT_MS) -> None:
    """Enable TCP keep-alive and user timeout, and disable Nagle's algorithm.

    The kernel then ends a connection whose peer no longer responds. Transports
    without a socket, such as those of tests, are left unchanged.

    :param user_timeout_ms: maximum time that sent data may remain unacknowledged, in
        milliseconds; this includes the time for which a live peer reads nothing.
    """
    handle = getattr(transport, "getHandle", None)
    if handle is None:
        return
    transport.setTcpNoDelay(True)
    transport.setTcpKeepAlive(True)
    sock = handle()
    for name, value in (*_OPTIONS, ("TCP_USER_TIMEOUT", user_timeout_ms)):
        option = getattr(socket, name, None)
        if option is not None:
            sock.setsockopt(socket.IPPROTO_TCP, option, value)


def limit_unsent_bytes(transport: Any) -> None:
    """Bound what the kernel buffers beyond what the peer's window allows.

    Without it, a client that reads nothing gets several megabytes of responses, for
    which requests run, before any output stays in the process.
    """
    handle = getattr(transport, "getHandle", None)
    option = getattr(socket, "TCP_NOTSENT_LOWAT", None)
    if handle is not None and option is not None:
        handle().setsockopt(socket.IPPROTO_TCP, option, UNSENT_BYTES)


def count_acknowledged_bytes(transport: Any) -> int:
    """Return how many sent bytes the peer has acknowledged.

    A peer that reads nothing stops to acknowledge when its buffer is full. The result
    is 0 for transports without a socket and on systems that do not tell.
    """
    handle = getattr(transport, "getHandle", None)
    if handle is None or not hasattr(socket, "TCP_INFO"):
        return 0
    try:
        info = handle().getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
    except OSError:
        return 0
    end = ACKNOWLEDGED_OFFSET + 8
    return int.from_bytes(info[ACKNOWLEDGED_OFFSET:end], sys.byteorder)
