"""Socket options for detecting dead peers."""

from __future__ import annotations

import socket
from typing import Any

# Without traffic, a dead peer is detected after about IDLE + COUNT * INTERVAL
# seconds.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_COUNT = 2
# Maximum time that sent data may remain unacknowledged.
USER_TIMEOUT_MS = 4_000

_OPTIONS = (
    ("TCP_KEEPIDLE", KEEPALIVE_IDLE_S),
    ("TCP_KEEPINTVL", KEEPALIVE_INTERVAL_S),
    ("TCP_KEEPCNT", KEEPALIVE_COUNT),
    ("TCP_USER_TIMEOUT", USER_TIMEOUT_MS),
)


def configure_socket(transport: Any) -> None:
    """Enable TCP keep-alive and user timeout, and disable Nagle's algorithm.

    The kernel then ends a connection whose peer no longer responds. Transports
    without a socket, such as those of tests, are left unchanged.
    """
    handle = getattr(transport, "getHandle", None)
    if handle is None:
        return
    transport.setTcpNoDelay(True)
    transport.setTcpKeepAlive(True)
    sock = handle()
    for name, value in _OPTIONS:
        option = getattr(socket, name, None)
        if option is not None:
            sock.setsockopt(socket.IPPROTO_TCP, option, value)
