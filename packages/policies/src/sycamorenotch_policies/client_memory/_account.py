"""Account of the bytes and requests of all clients, and the order of evictions."""

from __future__ import annotations

from typing import final

from sycamorenotch_policies.client_memory._limits import ClientLimits
from sycamorenotch_policies.client_memory._use import CONNECTION_BYTES
from sycamorenotch_policies.client_memory._use import REQUEST_BYTES
from sycamorenotch_policies.client_memory._use import ByteKind
from sycamorenotch_policies.client_memory._use import ClientUse
from sycamorenotch_policies.client_memory._use import EvictableClient
from sycamorenotch_policies.client_memory._use import EvictionReason

# Evictions go on until this part of the total is used, so that the search for clients
# to close is not repeated for every byte beyond the total.
RELIEVED_PART = 0.9
# Part of the total that bodies may fill, as clients may take any time to send them. The
# rest keeps requests without bodies going; one body of 64 MiB fits on 200 MB.
BODY_PART = 0.9
# Shorter bodies are not refused in favour of longer ones that were there before.
LONG_BODY_BYTES = 65_536
# Requests that are sent ahead start only below this part of the limits. The rest is for
# clients with nothing in progress.
AHEAD_PART = 0.75


@final
class ClientAccount:
    """Bounds what all clients together use.

    Beyond the total, those are closed first that leave responses unread, then those
    that sent the most ahead, then the newest.

    :param limits: limits on all clients together.
    """

    def __init__(self, limits: ClientLimits) -> None:
        self.limits = limits
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

    def charge(self, use: ClientUse, kind: ByteKind, size: int) -> None:
        """Count bytes, or release them if negative; this may evict any client."""
        if use not in self._uses:
            return
        self._add(use, kind, size)
        if kind is ByteKind.RECEIVED:
            self._update_ahead(use)
        elif kind is ByteKind.BODY and size > 0:
            self._sending_bodies.setdefault(use)
            self._never_served.pop(use, None)
            self._idle.pop(use, None)
        total = self.limits.total_bytes
        full = self.used_bytes > total or (
            kind is ByteKind.BODY and self.totals[kind] > total * BODY_PART
        )
        if size > 0 and full:
            self._relieve(use)

    def start(self, use: ClientUse) -> bool:
        """Count a request that is passed on, if there is room for it.

        For a client without one in progress, clients are evicted that leave responses
        unread or have sent more ahead.
        """
        limits = self.limits
        part = AHEAD_PART if use.requests else 1.0
        if self.requests >= limits.requests * part:
            return False
        while self.used_bytes + REQUEST_BYTES > limits.total_bytes * part:
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
        self._add(use, ByteKind.REQUEST, REQUEST_BYTES)
        self._update_ahead(use)
        return True

    def end(self, use: ClientUse) -> None:
        """Count the end of a request that was passed on."""
        if not use.requests:
            return
        self.requests -= 1
        use.requests -= 1
        self._add(use, ByteKind.REQUEST, -REQUEST_BYTES)
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
        target = int(self.limits.total_bytes * RELIEVED_PART)
        while self.used_bytes > target and self._uses:
            newest = self._newest_long_body() or use
            victim = self._choose_greedy()
            # Closing clients that sent little ahead would not make room for a body.
            if victim is None or newest.sizes[ByteKind.BODY] > victim[0].greedy_bytes:
                victim = newest, EvictionReason.MEMORY
            self._evict(*victim)
            if victim[0] is use:
                return

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
        those that read a response after those that have read all.
        """
        done = (use for use in self._idle if not use.sizes[ByteKind.RESPONSE])
        groups = (self._stalled, self._never_served, done, self._idle)
        first = (next(iter(group), newest) for group in groups)
        return next((use for use in first if use is not newest), newest)
