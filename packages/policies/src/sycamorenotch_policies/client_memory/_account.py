"""Account of the bytes and requests of all clients, and the order of evictions."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from typing import final

from sycamorenotch_policies.client_memory._limits import ClientLimits
from sycamorenotch_policies.client_memory._resident import ResidentLimit
from sycamorenotch_policies.client_memory._use import CONNECTION_BYTES
from sycamorenotch_policies.client_memory._use import ByteKind
from sycamorenotch_policies.client_memory._use import ClientUse
from sycamorenotch_policies.client_memory._use import EvictableClient
from sycamorenotch_policies.client_memory._use import EvictionReason
from sycamorenotch_policies.client_memory._use import request_bytes

# Evictions go on until this part of the total is used, so that the search for clients
# to close is not repeated for every byte beyond the total.
RELIEVED_PART = 0.9
# Part of the total that bodies may fill, as clients may take any time to send them. The
# rest keeps requests without bodies going; one body of 64 MiB fits on 200 MB.
BODY_PART = 0.9
# Shorter bodies are not refused in favour of longer ones that were there before.
LONG_BODY_BYTES = 65_536
# Time without progress after which a body gives way to others when memory is short.
PAUSED_AFTER_S = 2.0
# Requests that are sent ahead start only below this part of the limits. The rest is for
# clients with nothing in progress.
AHEAD_PART = 0.75


@final
class ClientAccount:
    """Bounds what all clients together use.

    Beyond the total, those are closed first that leave responses unread, then those
    that sent the most ahead, then those that paused in a body, then the newest.

    :param limits: limits on all clients together.
    :param clock: returns the monotonic time in seconds.
    :param resident: lowers the limit on bytes while the process holds more memory than
        is counted; without it, that limit is fixed.
    """

    def __init__(
        self,
        limits: ClientLimits,
        clock: Callable[[], float],
        resident: ResidentLimit | None = None,
    ) -> None:
        self.limits = limits
        self._resident = resident
        self._clock = clock
        self.used_bytes = 0
        self.requests = 0
        self.totals = [0] * len(ByteKind)
        self._uses: dict[ClientUse, None] = {}
        # Each in the order in which the clients joined it. Clients without a request
        # in progress are in one of the first two.
        self._never_served: dict[ClientUse, None] = {}
        self._idle: dict[ClientUse, None] = {}
        self._stalled: dict[ClientUse, None] = {}
        self._ahead: dict[ClientUse, None] = {}
        self._sending_bodies: dict[ClientUse, None] = {}

    @property
    def total_bytes(self) -> int:
        """Limit on the bytes of all clients now."""
        resident = self._resident
        return self.limits.total_bytes if resident is None else resident.total_bytes

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._uses)

    def open(self, client: EvictableClient) -> ClientUse:
        """Count a new connection; this may evict another one, or itself."""
        use = ClientUse(client)
        self._uses[use] = self._never_served[use] = None
        self.charge(use, ByteKind.CONNECTION, CONNECTION_BYTES)
        if len(self._uses) > self.limits.connections:
            self._evict(self._choose_connection(use), EvictionReason.CONNECTIONS)
        return use

    def close(self, use: ClientUse) -> None:
        """Forget a connection with all its bytes and requests."""
        if use not in self._uses:
            return
        for kind in ByteKind:
            self._add(use, kind, -use.sizes[kind])
        self.requests -= use.requests
        use.requests = 0
        for group in (
            *(self._uses, self._never_served, self._idle),
            *(self._stalled, self._ahead, self._sending_bodies),
        ):
            group.pop(use, None)

    def charge_received(self, use: ClientUse, size: int) -> None:
        """Count input that no request has taken, or release it if negative."""
        self.charge(use, ByteKind.RECEIVED, size)

    def charge_body(self, use: ClientUse, size: int) -> None:
        """Count bytes of a request body, or release them if negative."""
        self.charge(use, ByteKind.BODY, size)

    def charge_response(self, use: ClientUse, size: int) -> None:
        """Count bytes of responses, or release them if negative."""
        self.charge(use, ByteKind.RESPONSE, size)

    def charge(self, use: ClientUse, kind: ByteKind, size: int) -> None:
        """Count bytes, or release them if negative; this may evict any client."""
        if use not in self._uses:
            return
        self._add(use, kind, size)
        if kind == ByteKind.RECEIVED:
            self._update_ahead(use)
        elif kind == ByteKind.BODY and size > 0:
            use.body_at = self._clock()
            self._sending_bodies.setdefault(use)
            self._never_served.pop(use, None)
            self._idle.pop(use, None)
        total = self.total_bytes
        full = self.used_bytes > total or (
            kind == ByteKind.BODY and self.totals[kind] > total * BODY_PART
        )
        if size > 0 and full:
            self._relieve(use)

    def start(self, use: ClientUse, fields: int = 0) -> bool:
        """Count a request that is passed on, if there is room for it.

        For a client without one in progress, clients are evicted that leave responses
        unread or have sent more ahead.

        :param fields: number of its header fields.
        """
        size = request_bytes(fields)
        limits = self.limits
        part = AHEAD_PART if use.requests else 1.0
        if self.requests >= limits.requests * part:
            return False
        while self.used_bytes + size > self.total_bytes * part:
            victim = None if use.requests else self._choose_greedy()
            if victim is None or victim[0] is use:
                return False
            self._evict(*victim)
        if use not in self._uses:
            # It was closed together with another one.
            return False
        self.requests += 1
        use.requests += 1
        self._never_served.pop(use, None)
        self._idle.pop(use, None)
        self._sending_bodies.pop(use, None)
        self._add(use, ByteKind.REQUEST, size)
        self._update_ahead(use)
        return True

    def end(self, use: ClientUse, fields: int = 0) -> None:
        """Count the end of a request that was passed on.

        :param fields: as at its start.
        """
        if not use.requests:
            return
        self.requests -= 1
        use.requests -= 1
        self._add(use, ByteKind.REQUEST, -request_bytes(fields))
        self._update_ahead(use)
        if not use.requests:
            self._idle[use] = None

    def set_stalled(self, use: ClientUse, stalled: bool) -> None:
        """Record whether a client makes no progress in reading."""
        if stalled and use in self._uses:
            self._stalled[use] = None
        else:
            self._stalled.pop(use, None)

    def _add(self, use: ClientUse, kind: ByteKind, size: int) -> None:
        use.sizes[kind] += size
        self.totals[kind] += size
        self.used_bytes += size
        if self._resident is not None:
            self._resident.record(size, self.used_bytes)

    def _evict(self, use: ClientUse, reason: EvictionReason) -> None:
        # The refusal that the client may get is no longer counted.
        self.close(use)
        use.client.evict(reason)

    def _update_ahead(self, use: ClientUse) -> None:
        if use.requests > 1 or use.sizes[ByteKind.RECEIVED]:
            self._ahead[use] = None
        else:
            self._ahead.pop(use, None)

    def _relieve(self, use: ClientUse) -> None:
        """Evict clients until the total holds again; ``use`` was charged last."""
        target = int(self.total_bytes * RELIEVED_PART)
        while self.used_bytes > target and self._uses:
            victim = self._choose_body(use)
            greedy = self._choose_greedy()
            # Closing clients that sent little ahead would not make room for a body.
            if greedy and victim[0].sizes[ByteKind.BODY] <= greedy[0].greedy_bytes:
                victim = greedy
            self._evict(*victim)
            if victim[0] is use:
                return

    def _choose_body(self, use: ClientUse) -> tuple[ClientUse, EvictionReason]:
        """Return the client whose body gives way, or ``use`` if none is larger.

        Bodies that were accepted first must be able to finish if they make progress.
        """
        paused = max(self._paused_bodies(), key=_body_bytes, default=None)
        if paused is not None:
            return paused, EvictionReason.PAUSED
        body = self._newest_long_body()
        if body is None:
            body = max(self._sending_bodies, key=_body_bytes, default=use)
            body = max(use, body, key=lambda client: client.total_bytes)
        return body, EvictionReason.MEMORY

    def _paused_bodies(self) -> list[ClientUse]:
        """Return the clients that have sent nothing of their bodies for a time."""
        limit = self._clock() - PAUSED_AFTER_S
        return [use for use in self._sending_bodies if use.body_at <= limit]

    def _newest_long_body(self) -> ClientUse | None:
        return next(
            (
                use
                for use in reversed(self._sending_bodies)
                if use.sizes[ByteKind.BODY] >= LONG_BODY_BYTES
            ),
            None,
        )

    def _choose_greedy(self) -> tuple[ClientUse, EvictionReason] | None:
        """Return the client that left most unread, or else sent most ahead."""
        groups = (
            (self._stalled, EvictionReason.UNREAD),
            (self._ahead, EvictionReason.SENT_AHEAD),
        )
        for group, reason in groups:
            if group:
                return max(group, key=lambda use: use.greedy_bytes), reason
        return None

    def _choose_connection(self, newest: ClientUse) -> ClientUse:
        """Return the connection to close when there are too many.

        Connections without a request in progress are closed before those with one, and
        those that read a response after those that have read all. Last come those that
        send a body, beginning with the one that was silent longest.
        """
        done = (use for use in self._idle if not use.sizes[ByteKind.RESPONSE])
        silent = (min(self._sending_bodies, key=_body_at, default=newest),)
        groups: tuple[Iterable[ClientUse], ...] = (
            *(self._stalled, self._never_served, self._paused_bodies()),
            *(done, self._idle, silent),
        )
        first = (next(iter(group), newest) for group in groups)
        return next((use for use in first if use is not newest), newest)


def _body_bytes(use: ClientUse) -> int:
    return use.sizes[ByteKind.BODY]


def _body_at(use: ClientUse) -> float:
    return use.body_at
