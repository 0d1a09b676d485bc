"""Workers of every service that an instance knows."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from heapq import nsmallest
from itertools import islice
from typing import final

from sycamorenotch_kernel import ServiceLimits
from sycamorenotch_kernel import WorkerEntry
from sycamorenotch_policies._overdue import LatencyEstimate
from sycamorenotch_policies._rate_limit import RateLimitReport
from sycamorenotch_policies._service_load import ServiceLoad
from sycamorenotch_policies._worker_view import ColdCause
from sycamorenotch_policies._worker_view import WorkerView
from sycamorenotch_policies.work._service_work import ServiceWork
from sycamorenotch_policies.work._worker_work import WorkerWork

# A data centre is suspect while at least this many of its workers could not be
# reached within the last seconds.
SUSPECT_WORKERS = 2
SUSPECT_PERIOD_S = 5.0
# Bound on departures that are remembered; the oldest are forgotten.
MAX_DEPARTURES = 4_096


@final
@dataclass(frozen=True, slots=True)
class _Departure:
    """Why an incarnation of a worker gets no requests, also if its entry is back.

    :param entry_revision: revision of its last entry, if that was removed: a restored
        store shows it unchanged. None if the worker is about to stop.
    """

    incarnation: int
    entry_revision: int | None = None

    def concerns(self, entry: WorkerEntry, revision: int) -> bool:
        """Return whether it holds for an entry that was written at a revision."""
        same_start = entry.incarnation == self.incarnation
        return same_start and self.entry_revision in (None, revision)


@final
class WorkerDirectory:
    """Known workers of every service, indexed by service.

    All times are seconds on the monotonic clock.

    :param region_of: returns the region of a data centre.
    """

    def __init__(self, region_of: Callable[[str], str]) -> None:
        self._region_of = region_of
        self._views: dict[str, WorkerView] = {}
        self._services: dict[str, tuple[WorkerView, ...]] = {}
        self._estimates: dict[str, LatencyEstimate] = {}
        self._service_loads: dict[str, ServiceLoad] = {}
        self.service_work: dict[str, ServiceWork] = {}
        self._evacuated: frozenset[str] = frozenset()
        # They outlive the entries, which may lapse and come back, or not say so yet.
        self._departures: OrderedDict[str, _Departure] = OrderedDict()
        self.limits: dict[str, ServiceLimits] = {}
        self.version = 0

    def __len__(self) -> int:
        return len(self._views)

    def get(self, worker: str) -> WorkerView | None:
        """Return a worker by its identifier, or none if it is unknown."""
        return self._views.get(worker)

    def cold_s(self, service: str) -> float:
        """Return the duration of the cold start of a service's workers, in seconds."""
        limits = self.limits.get(service)
        return 0.0 if limits is None else limits.cold_s

    def known(self, service: str) -> tuple[WorkerView, ...]:
        """Return the workers of a service, including those in backoff.

        Workers that are leaving or under evacuation are left out.
        """
        return self._services.get(service, ())

    def is_suspect(self, data_centre: str, now: float) -> bool:
        """Return whether several workers of a data centre could not be reached."""
        unreachable = (
            view
            for view in self._views.values()
            if view.unreachable
            and view.entry.data_centre == data_centre
            and now - view.failed_at <= SUSPECT_PERIOD_S
        )
        return sum(1 for _ in islice(unreachable, SUSPECT_WORKERS)) >= SUSPECT_WORKERS

    def describe(self, service: str, now: float) -> str:
        """Describe how many workers a service has and why some get no requests."""
        views = [v for v in self._views.values() if v.entry.service == service]
        counts = {
            "are draining": sum(view.leaving for view in views),
            "are in data centres under evacuation": sum(
                view.entry.data_centre in self._evacuated for view in views
            ),
            "asked for a pause": sum(now < view.paused_until for view in views),
            "pause after failures": sum(now < view.backoff_until for view in views),
            **{
                cause.value: sum(
                    now < view.cold_until and view.cold_cause is cause for view in views
                )
                for cause in ColdCause
            },
            "have had their share of requests": sum(
                view.rate.limit is not None
                and not view.rate.allowance.is_available(now)
                for view in views
            ),
            "are unresponsive": sum(now >= view.unresponsive_from() for view in views),
        }
        parts = [f"{count} {what}" for what, count in counts.items() if count]
        return ", ".join([f"{len(views)} workers known", *parts])

    @property
    def evacuated(self) -> frozenset[str]:
        """Data centres under evacuation; their workers get no requests."""
        return self._evacuated

    def put(self, entry: WorkerEntry, now: float, revision: int = 0) -> bool:
        """Add a worker or update its entry.

        :param revision: revision at which the entry was written.
        :return: whether the set of workers changed; always true.
        """
        view = self._views.get(entry.id)
        if view is None:
            view = self._new_view(entry, now)
        elif view.entry.incarnation != entry.incarnation:
            view = self._restarted_view(view, entry, now)
        else:
            view.entry = entry
            if entry.cold_s > 0:
                view.record_cold_start(now + entry.cold_s, ColdCause.REPORTED)
        view.missing_until = None
        view.seen_at = now
        view.revision = revision
        self._views[entry.id] = view
        if entry.draining:
            self._remember_departure(entry, _Departure(entry.incarnation))
        departure = self._departures.get(entry.id)
        view.leaving = departure is not None and departure.concerns(entry, revision)
        self._rebuild_index()
        return True

    def record_departure(self, view: WorkerView) -> bool:
        """Record that a worker is about to stop, so that it gets no more requests.

        This holds until the worker starts again, whatever becomes of its entry.

        :return: whether it was not known.
        """
        if view.leaving:
            return False
        view.leaving = True
        self._remember_departure(view.entry, _Departure(view.entry.incarnation))
        # The entry may have been removed and read again since the view was chosen.
        current = self._views.get(view.entry.id)
        if current is not None and current.entry.incarnation == view.entry.incarnation:
            current.leaving = True
        self._rebuild_index()
        return True

    def _remember_departure(self, entry: WorkerEntry, departure: _Departure) -> None:
        self._departures[entry.id] = departure
        self._departures.move_to_end(entry.id)
        if len(self._departures) > MAX_DEPARTURES:
            self._departures.popitem(last=False)

    def remove(self, worker: str, *, gone: bool = False) -> None:
        """Remove a worker.

        :param gone: whether its entry was removed, so that the worker is not back
            before the entry is written again.
        """
        view = self._views.pop(worker, None)
        if view is None:
            return
        if gone and not view.leaving:
            departure = _Departure(view.entry.incarnation, view.revision)
            self._remember_departure(view.entry, departure)
        self._rebuild_index()

    def mark_missing(self, worker: str, until: float) -> None:
        """Keep a worker for now whose entry may only have expired.

        :param until: time at which the worker is removed unless its
            entry comes back.
        """
        view = self._views.get(worker)
        if view is not None:
            view.missing_until = until

    def expire(self, now: float) -> tuple[str, ...]:
        """Remove the workers whose entries did not come back in time.

        :return: identifiers of the removed workers.
        """
        expired = tuple(
            name
            for name, view in self._views.items()
            if view.missing_until is not None and now >= view.missing_until
        )
        for name in expired:
            self.remove(name)
        return expired

    def paused_count(self, now: float) -> int:
        """Return the number of workers that asked this instance for a pause."""
        return sum(now < view.paused_until for view in self._views.values())

    def limited_count(self) -> int:
        """Return the number of workers that name a limit on their requests."""
        return sum(view.rate.limit is not None for view in self._views.values())

    def rate_limit_reports(self, now: float, most: int) -> tuple[RateLimitReport, ...]:
        """Return recent own observations of limits, latest changes first, in turns.

        :param most: largest number of reports.
        """
        recent = (view for view in self._views.values() if view.rate.is_recent(now))
        due = nsmallest(most, recent, key=lambda view: view.rate.turn(now))
        return tuple(view.rate.report(view.entry.id, now) for view in due)

    def names(self) -> frozenset[str]:
        """Return the identifiers of all workers."""
        return frozenset(self._views)

    def evacuate(self, data_centres: frozenset[str], now: float) -> None:
        """Set the data centres whose workers get no requests.

        Workers of a data centre whose evacuation ends start cold, because they
        may have lost their cached objects.
        """
        returned = self._evacuated - data_centres
        for view in self._views.values():
            if view.entry.data_centre in returned:
                cold_s = self.cold_s(view.entry.service)
                until = max(view.cold_until, now + cold_s)
                view.record_cold_start(until, ColdCause.EVACUATED)
        self._evacuated = data_centres
        self._rebuild_index()

    def _new_view(self, entry: WorkerEntry, now: float) -> WorkerView:
        region = self._region_of(entry.data_centre)
        estimate = self._estimates.setdefault(entry.service, LatencyEstimate())
        service_load = self._service_loads.setdefault(entry.service, ServiceLoad())
        service_work = self.service_work.setdefault(entry.service, ServiceWork())
        view = WorkerView(entry, region, now, estimate, service_load)
        view.work = WorkerWork(service_work)
        if entry.cold_s > 0:
            view.cold_until = now + entry.cold_s
        return view

    def _restarted_view(
        self, old: WorkerView, entry: WorkerEntry, now: float
    ) -> WorkerView:
        view = self._new_view(entry, now)
        view.in_flight_since = old.in_flight_since
        # What others observed before concerns the former start.
        view.rate.observed_at = now
        cold_s = entry.cold_s or self.cold_s(entry.service)
        view.cold_until = now + cold_s
        return view

    def _rebuild_index(self) -> None:
        self.version += 1
        found: dict[str, list[WorkerView]] = {}
        for view in self._views.values():
            if view.leaving or view.entry.data_centre in self._evacuated:
                continue
            found.setdefault(view.entry.service, []).append(view)
        self._services = {service: tuple(views) for service, views in found.items()}
