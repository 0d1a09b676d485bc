"""Decides which lost requests count as crashes of the workers that ran them.

A lost connection alone is no crash. What follows shows it: a refused connection, a new
start of the worker or of another at its address, or the removal of its entry.
"""

from __future__ import annotations

from collections import OrderedDict
from collections import deque
from dataclasses import dataclass
from dataclasses import field
from enum import Enum
from enum import unique
from typing import final

from sycamorenotch_policies._quarantine import Signature

# A connection is refused, if at all, within this time of the crash.
REFUSAL_WINDOW_S = 5.0
# A worker is back some seconds after a crash, and its entry is removed after a few
# heartbeats of silence; both reach this instance through the store a little later.
ENTRY_WINDOW_S = 15.0
# Bound on lost requests that wait for a crash to show; the oldest are discarded.
MAX_LOSSES = 256
# Losses of this many other workers of a data centre in this time are a failure of the
# data centre, not of the request.
WIDESPREAD_WORKERS = 2
SIMULTANEOUS_S = 0.5


@final
@unique
class ProbeResult(Enum):
    """What became of a connection that was opened to see whether a worker lives.

    ``SILENT`` says nothing of the worker, only that the path to it is cut.
    """

    CONNECTED = "connected"
    REFUSED = "refused"
    SILENT = "no answer"


@final
@dataclass(frozen=True, slots=True)
class LostRequest:
    """A request whose worker closed the connection without an answer.

    :param request: identifier of the request.
    :param lost_at: time on the monotonic clock, in seconds.
    :param incarnation: start of the worker, as in :class:`WorkerEntry`.
    """

    signature: Signature
    request: str
    worker: str
    lost_at: float
    incarnation: int = 0


@final
@dataclass(slots=True)
class _Suspect:
    address: str
    data_centre: str
    losses: list[LostRequest] = field(default_factory=list)
    probing: bool = False
    connected: bool = False


@final
class CrashEvidence:
    """Lost requests of workers of which it is not known yet whether they crashed.

    All times are seconds on the monotonic clock. Memory is bounded.
    """

    def __init__(self) -> None:
        self._suspects: OrderedDict[str, _Suspect] = OrderedDict()
        self._recent: deque[tuple[str, LostRequest]] = deque(maxlen=MAX_LOSSES)

    def __len__(self) -> int:
        return sum(len(suspect.losses) for suspect in self._suspects.values())

    def record_loss(self, lost: LostRequest, address: str, data_centre: str) -> bool:
        """Record a lost request.

        :return: whether the worker should be probed; false if a probe is under way.
        """
        if len(self) >= MAX_LOSSES:
            self._suspects.popitem(last=False)
        suspect = self._suspects.setdefault(lost.worker, _Suspect(address, data_centre))
        suspect.losses.append(lost)
        suspect.connected = False
        self._recent.append((data_centre, lost))
        return not suspect.probing

    def is_suspect(self, worker: str) -> bool:
        """Return whether it is unknown if a worker crashed."""
        return worker in self._suspects

    def start_probe(self, worker: str) -> None:
        """Record that a probe of a worker that lost requests is under way."""
        self._suspects[worker].probing = True

    def record_probe(
        self, worker: str, result: ProbeResult, now: float
    ) -> tuple[LostRequest, ...]:
        """Record the result of a probe; return the requests that crashed the worker."""
        suspect = self._suspects.get(worker)
        if suspect is None:
            return ()
        suspect.probing = False
        if result is ProbeResult.REFUSED:
            return self.record_refused(worker, now)
        if result is ProbeResult.SILENT:
            self.forget(worker)
        else:
            suspect.connected = True
        return ()

    def record_refused(self, worker: str, now: float) -> tuple[LostRequest, ...]:
        """Record a refused connection; return the requests that crashed the worker.

        A worker that was connected to after the loss did not crash by it.
        """
        self._forget_connected(worker)
        return self._confirm(worker, now - REFUSAL_WINDOW_S)

    def record_restarted(self, worker: str, now: float) -> tuple[LostRequest, ...]:
        """Record a new start; return the requests that crashed the worker."""
        return self._confirm(worker, now - ENTRY_WINDOW_S)

    def record_removed(self, worker: str, now: float) -> tuple[LostRequest, ...]:
        """Record a removed entry; return the requests that crashed the worker.

        A worker that was connected to after the loss did not crash by it.
        """
        self._forget_connected(worker)
        return self._confirm(worker, now - ENTRY_WINDOW_S)

    def record_replaced(
        self, address: str, worker: str, now: float
    ) -> tuple[LostRequest, ...]:
        """Record a worker; return the requests that crashed others at its address."""
        replaced = [
            name
            for name, suspect in self._suspects.items()
            if suspect.address == address and name != worker
        ]
        return tuple(
            lost for name in replaced for lost in self.record_restarted(name, now)
        )

    def record_alive(self, worker: str, asked_at: float) -> None:
        """Discard what was lost before a request that a worker has answered."""
        suspect = self._suspects.get(worker)
        if suspect is None:
            return
        suspect.losses = [lost for lost in suspect.losses if lost.lost_at > asked_at]
        if not suspect.losses:
            self.forget(worker)

    def forget(self, worker: str) -> None:
        """Discard the lost requests of a worker whose end is no crash."""
        self._suspects.pop(worker, None)

    def _forget_connected(self, worker: str) -> None:
        suspect = self._suspects.get(worker)
        if suspect is not None and suspect.connected:
            self.forget(worker)

    def _confirm(self, worker: str, since: float) -> tuple[LostRequest, ...]:
        suspect = self._suspects.pop(worker, None)
        if suspect is None:
            return ()
        return tuple(
            lost
            for lost in suspect.losses
            if lost.lost_at >= since and not self._is_widespread(suspect, lost)
        )

    def _is_widespread(self, suspect: _Suspect, lost: LostRequest) -> bool:
        """Return whether other workers were lost at the time, with other requests."""
        near = [
            (other.worker, other.signature)
            for data_centre, other in self._recent
            if data_centre == suspect.data_centre
            and abs(other.lost_at - lost.lost_at) <= SIMULTANEOUS_S
        ]
        own = {name for name, signature in near if signature == lost.signature}
        return (
            len({name for name, _ in near} - own - {lost.worker}) >= WIDESPREAD_WORKERS
        )
