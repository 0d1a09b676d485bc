"""What a server asks of the account of its clients' memory."""

from __future__ import annotations

from typing import Any
from typing import Protocol
from typing import final

# What the server itself decides: to close a client that reads nothing, to refuse a
# request whose body pauses for too long, whose framing is too long or that the account
# has no room for, and to let requests wait that were sent far ahead.
UNREAD = "unread"
PAUSED = "paused"
FRAMING = "framing"
HELD_BACK = "held-back"
REFUSED = "refused"


class AccountedClient(Protocol):
    """A connection whose memory is accounted for."""

    def evict(self, reason: str) -> None:
        """Release all bytes of the client, and refuse or close it."""
        ...


class ClientAccount(Protocol):
    """Counts what clients use, and evicts clients when it is too much.

    ``use`` is what :meth:`open` returned. Any call may evict any client, also the one
    that it is made for.
    """

    def open(self, client: AccountedClient) -> Any:
        """Count a new connection."""
        ...

    def close(self, use: Any) -> None:
        """Forget a connection with all its bytes and requests."""
        ...

    def charge_received(self, use: Any, size: int) -> None:
        """Count input that no request has taken, or release it if negative."""
        ...

    def charge_body(self, use: Any, size: int) -> None:
        """Count bytes of a request body, or release them if negative."""
        ...

    def charge_response(self, use: Any, size: int) -> None:
        """Count bytes of responses, or release them if negative."""
        ...

    def start(self, use: Any, fields: int) -> bool:
        """Count a request that is passed on, if there is room for it.

        :param fields: number of its header fields.
        """
        ...

    def end(self, use: Any, fields: int) -> None:
        """Count the end of a request that was passed on."""
        ...

    def set_stalled(self, use: Any, stalled: bool) -> None:
        """Record whether a client makes no progress in reading."""
        ...


class AheadWindow(Protocol):
    """Decides how many requests of a client that sends far ahead run together."""

    def allows(self, running: int) -> bool:
        """Whether one more request may run beside ``running`` others."""
        ...

    def record_refusal(self, retry_after_s: float, far_ahead: bool) -> float:
        """Record a refusal for want of room; return how long the others wait."""
        ...

    def record_answer(self, far_ahead: bool) -> float:
        """Record an answer; return how long the others wait."""
        ...


@final
class UnlimitedWindow:
    """Window of a client that is trusted; it never holds back requests."""

    def __init__(self, most: int) -> None:
        """Ignore the maximum, which the server enforces itself."""

    def allows(self, running: int) -> bool:
        """Let every request run."""
        return True

    def record_refusal(self, retry_after_s: float, far_ahead: bool) -> float:
        """Hold back nothing."""
        return 0.0

    def record_answer(self, far_ahead: bool) -> float:
        """Hold back nothing."""
        return 0.0


@final
class UnlimitedAccount:
    """Account of a server whose clients are trusted; it evicts none."""

    def open(self, client: AccountedClient) -> None:
        """Count nothing."""

    def close(self, use: None) -> None:
        """Count nothing."""

    def charge_received(self, use: None, size: int) -> None:
        """Count nothing."""

    def charge_body(self, use: None, size: int) -> None:
        """Count nothing."""

    def charge_response(self, use: None, size: int) -> None:
        """Count nothing."""

    def start(self, use: None, fields: int) -> bool:
        """Let every request start."""
        return True

    def end(self, use: None, fields: int) -> None:
        """Count nothing."""

    def set_stalled(self, use: None, stalled: bool) -> None:
        """Count nothing."""
