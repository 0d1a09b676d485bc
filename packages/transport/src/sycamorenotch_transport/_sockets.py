"""Socket options that reveal a silent peer."""

from __future__ import annotations

import socket
from typing import Any

# A silent peer is noticed after about IDLE + COUNT * INTERVAL seconds.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_COUNT = 2
# Longest time that written bytes may stay without an acknowledgement.
USER_TIMEOUT_MS = 4_000

_OPTIONS = (
    ("TCP_KEEPIDLE", KEEPALIVE_IDLE_S),
    ("TCP_KEEPINTVL", KEEPALIVE_INTERVAL_S),
    ("TCP_KEEPCNT", KEEPALIVE_COUNT),
    ("TCP_USER_TIMEOUT", USER_TIMEOUT_MS),
)


def detect_silence(transport: Any) -> None:
    """Have the kernel end a connection whose peer no longer answers.

    Transports without a socket, such as those of tests, are left as they are.
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
