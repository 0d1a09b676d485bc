"""Events about what clients use of the machine."""

from __future__ import annotations

from dataclasses import dataclass
from typing import final

from sycamorenotch_kernel import Event
from sycamorenotch_kernel import Severity
from sycamorenotch_kernel import event


@event(6190, "clients.limited", Severity.WARNING)
@final
@dataclass(frozen=True, slots=True)
class ClientsLimited(Event):
    """Clients were closed or refused because of what clients use.

    :param reasons: number of clients by reason, since the last such event.
    :param used_bytes: bytes held for clients now.
    :param total_bytes: limit on these bytes.
    """

    reasons: str
    used_bytes: int
    total_bytes: int
    connections: int
    requests: int
