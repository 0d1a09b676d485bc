"""Derives the limits on all clients of an instance from its machine."""

from __future__ import annotations

from dataclasses import dataclass
from typing import final

BYTES_PER_MB = 1_000_000
# Measured: resident memory of a process that does not serve yet.
PROCESS_BYTES = 85 * BYTES_PER_MB
# Descriptors for files, the log and the listeners.
RESERVED_DESCRIPTORS = 200
# Parts of the other descriptors. A request in progress takes one more for its worker;
# the rest is for idle connections to workers and for peers.
CONNECTION_PART = 5 / 8
REQUEST_PART = 1 / 4
# Part for connections of the platform to an instance's own listeners, which need few.
OWN_LISTENER_PART = 1 / 32
OWN_LISTENER_BYTES = 8 * BYTES_PER_MB
# With less memory an instance still serves some clients.
MIN_TOTAL_BYTES = 8 * BYTES_PER_MB
MIN_CONNECTIONS = 16
MIN_REQUESTS = 8


@final
@dataclass(frozen=True, slots=True)
class MachineShare:
    """Part of a machine that an instance may use.

    :param memory_mb: memory of the process, in megabytes.
    :param descriptors: open files and sockets of the process.
    :param response_bytes: memory for workers' responses that are being received.
    """

    memory_mb: float
    descriptors: int
    response_bytes: int


@final
@dataclass(frozen=True, slots=True)
class ClientLimits:
    """Limits on all clients of an instance together.

    :param total_bytes: bytes that the process holds for them.
    :param connections: open connections.
    :param requests: requests in progress.
    """

    total_bytes: int
    connections: int
    requests: int


def derive_client_limits(
    share: MachineShare, total_bytes: int = 0, connections: int = 0
) -> ClientLimits:
    """Return the limits of an instance.

    :param total_bytes: limit from the settings, or 0 to derive it.
    :param connections: limit from the settings, or 0 to derive it.
    """
    memory = int(share.memory_mb * BYTES_PER_MB) - PROCESS_BYTES - share.response_bytes
    descriptors = max(0, share.descriptors - RESERVED_DESCRIPTORS)
    return ClientLimits(
        total_bytes or max(MIN_TOTAL_BYTES, memory),
        connections or max(MIN_CONNECTIONS, int(descriptors * CONNECTION_PART)),
        max(MIN_REQUESTS, int(descriptors * REQUEST_PART)),
    )


def derive_own_limits(share: MachineShare) -> ClientLimits:
    """Return the limits on the clients of listeners for the platform together."""
    descriptors = max(0, share.descriptors - RESERVED_DESCRIPTORS)
    connections = max(MIN_CONNECTIONS, int(descriptors * OWN_LISTENER_PART))
    return ClientLimits(OWN_LISTENER_BYTES, connections, connections)
