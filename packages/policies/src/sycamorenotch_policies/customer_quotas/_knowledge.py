"""What one instance knows of the demand of customers at the others."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from typing import final

from sycamorenotch_policies.customer_quotas._demand import DemandReport

# An instance whose last heartbeat is older than its interval by this part and this time
# in seconds does not count as reached. A lost heartbeat costs little, as the quota is
# then divided among the others by their own demand.
REACHED_FACTOR = 1.1
REACHED_MARGIN_S = 0.25
MIN_REACHED_S = 1.0
# Quota windows for which the values of an instance are kept after its last heartbeat.
# While most instances are silent, this one may be cut off, and keeps them much longer.
RETENTION_WINDOWS = 2.0
MINORITY_WINDOWS = 24.0

Reports = Mapping[str, DemandReport]


@final
@dataclass(slots=True)
class PeerSums:
    """Sums of one customer's reported demand over other instances.

    :param fast: demand at those that are reached, in requests per second.
    :param part: parts of those that are reached.
    :param all_fast: demand at all, also at those not heard from lately.
    :param all_part: parts of all.
    """

    fast: float = 0.0
    part: float = 0.0
    all_fast: float = 0.0
    all_part: float = 0.0

    def add(self, report: DemandReport, sign: int, reached: bool) -> None:
        """Add or subtract a report.

        :param sign: 1 to add, -1 to subtract.
        """
        self.all_fast += sign * report.fast
        self.all_part += sign * report.part
        if reached:
            self.fast += sign * report.fast
            self.part += sign * report.part


NO_SUMS = PeerSums()


@final
@dataclass(slots=True)
class _Peer:
    heard_at: float
    leaving: bool = False
    reached: bool = True
    reports: Reports = field(default_factory=dict)


@final
class PeerKnowledge:
    """Last known reports of the other instances, and their sums by customer.

    The sums are updated with each report, so that reading them costs the same for any
    number of instances. All times are seconds on the monotonic clock.

    :param window_s: quota window.
    """

    def __init__(self, window_s: float, now: float) -> None:
        self._window_s = window_s
        self._began_at = now
        self._peers: dict[str, _Peer] = {}
        self._sums: defaultdict[str, PeerSums] = defaultdict(PeerSums)
        self._reached_s = MIN_REACHED_S
        self._listed = 0
        self._counts_listed = True
        self.reached = 0

    def set_fleet(self, listed: int, interval_s: float) -> None:
        """Set how many other instances there are, and how often each is heard from.

        :param listed: number of instances that are listed, without this one.
        :param interval_s: longest interval between two heartbeats of one.
        """
        self._listed = listed
        reached_s = REACHED_FACTOR * interval_s + REACHED_MARGIN_S
        self._reached_s = max(MIN_REACHED_S, reached_s)

    def learn(
        self, peer: str, reports: Reports | None, now: float, *, leaving: bool = False
    ) -> None:
        """Record a heartbeat; its reports replace the former ones.

        :param reports: demand by customer, or none if the heartbeat states nothing
            that can be read; the former values then stay.
        :param leaving: whether the instance is about to stop, and is to be forgotten
            when its heartbeats end.
        """
        known = self._peers.get(peer)
        if known is None:
            known = self._peers[peer] = _Peer(now)
            self.reached += 1
        elif not known.reached:
            known.reached = True
            self._recount()
        known.heard_at = now
        known.leaving = leaving
        if reports is not None:
            self._replace(known, reports)

    def update(self, now: float) -> None:
        """Find instances not reached any more, and forget those silent for long."""
        silent_since = now - self._reached_s
        lost = [
            known
            for known in self._peers.values()
            if known.reached and known.heard_at < silent_since
        ]
        for known in lost:
            known.reached = False
        # After a suspension, all others are lost in one update.
        self.reached -= len(lost)
        windows = MINORITY_WINDOWS if self.in_minority else RETENTION_WINDOWS
        limit = now - windows * self._window_s
        # Entries of instances that are gone may outnumber the others for good.
        start_windows = RETENTION_WINDOWS if self.reached else MINORITY_WINDOWS
        self._counts_listed = now - self._began_at < start_windows * self._window_s
        forgotten = [
            name
            for name, known in self._peers.items()
            if known.heard_at < (silent_since if known.leaving else limit)
        ]
        for name in forgotten:
            del self._peers[name]
        if lost or forgotten:
            self._recount()

    def sums(self, customer: str) -> PeerSums:
        """Return the sums of a customer over the other instances."""
        return self._sums.get(customer, NO_SUMS)

    def oldest_age_s(self, now: float) -> float:
        """Return the age of the oldest report of an instance that is reached."""
        heard = (known.heard_at for known in self._peers.values() if known.reached)
        return now - min(heard, default=now)

    @property
    def known(self) -> int:
        """Number of other instances whose reports are kept."""
        return len(self._peers)

    @property
    def missing(self) -> int:
        """Number of listed instances that were never heard from.

        Entries of instances that are gone remain listed, so that they count for a time
        after the start only.
        """
        return max(0, self._listed - len(self._peers)) if self._counts_listed else 0

    @property
    def in_minority(self) -> bool:
        """Whether fewer than half of the other instances are reached."""
        return 2 * self.reached < len(self._peers) + self.missing

    def _replace(self, known: _Peer, reports: Reports) -> None:
        former, known.reports = known.reports, reports
        for name, report in former.items():
            self._sums[name].add(report, -1, known.reached)
        for name, report in reports.items():
            self._sums[name].add(report, 1, known.reached)

    def _recount(self) -> None:
        """Compute the sums anew, which also removes rounding errors."""
        self._sums.clear()
        self.reached = sum(known.reached for known in self._peers.values())
        for known in self._peers.values():
            for name, report in known.reports.items():
                self._sums[name].add(report, 1, known.reached)
