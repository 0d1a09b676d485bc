"""Order in which the workers of a service own an object, remembered by object."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass
from dataclasses import field
from itertools import accumulate
from math import log
from random import Random
from typing import final

from sycamorenotch_policies._route_table import hash_to_unit_interval
from sycamorenotch_policies._worker_view import WorkerView

# An order takes up to a kilobyte with a hundred workers.
MAX_ORDERS = 2_048
# Weighted draws seldom repeat a worker before this many draws for each of them.
MAX_DRAWS_PER_WORKER = 4


@final
@dataclass(slots=True)
class _ServiceWorkers:
    """Workers of a service as last seen, and what the orders depend on.

    :param identity: identifier and slots of each worker.
    :param version: changes with the identity.
    """

    views: tuple[WorkerView, ...] = ()
    identity: tuple[tuple[str, int], ...] = ()
    version: int = 0
    cumulative_slots: list[int] = field(default_factory=list)
    by_region: dict[str, list[WorkerView]] = field(default_factory=dict)


@final
class ObjectOwners:
    """Weighted rendezvous hashing of objects to workers, on which all instances agree.

    Hashing every worker was the largest cost of a choice, so the order of an object is
    kept until the set of workers changes.

    :param random: orders the workers of requests that have no object.
    """

    def __init__(self, random: Random) -> None:
        self._random = random
        self._services: dict[str, _ServiceWorkers] = {}
        self._orders: OrderedDict[tuple[str, str], tuple[int, tuple[int, ...]]] = (
            OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._orders)

    def ordered(
        self, service: str, key: str, views: tuple[WorkerView, ...]
    ) -> Iterator[WorkerView]:
        """Return the workers in the order in which they own an object.

        :param key: key of the object; if it is empty, the order is random.
        :param views: workers of the service, the same tuple until they change.
        """
        workers = self._update(service, views)
        if not key:
            return self._draw(workers)
        entry = (service, key)
        version, order = self._orders.get(entry, (-1, ()))
        if version != workers.version:
            scores = [_owner_score(key, view) for view in views]
            order = tuple(sorted(range(len(views)), key=scores.__getitem__))
            self._orders[entry] = (workers.version, order)
        self._orders.move_to_end(entry)
        if len(self._orders) > MAX_ORDERS:
            self._orders.popitem(last=False)
        return (views[index] for index in order)

    def of_region(
        self, service: str, region: str, views: tuple[WorkerView, ...]
    ) -> list[WorkerView]:
        """Return the workers in a region; callers must not change the list."""
        by_region = self._update(service, views).by_region
        if region not in by_region:
            by_region[region] = [view for view in views if view.region == region]
        return by_region[region]

    def _update(self, service: str, views: tuple[WorkerView, ...]) -> _ServiceWorkers:
        workers = self._services.setdefault(service, _ServiceWorkers())
        if workers.views is not views:
            workers.views = views
            workers.by_region.clear()
            identity = tuple((view.entry.id, view.entry.slots) for view in views)
            if identity != workers.identity:
                workers.identity = identity
                workers.version += 1
                workers.cumulative_slots = list(accumulate(s for _, s in identity))
        return workers

    def _draw(self, workers: _ServiceWorkers) -> Iterator[WorkerView]:
        """Draw all workers in turn, each by its slots among those not drawn yet."""
        views = workers.views
        drawn: set[int] = set()
        indices = range(len(views))
        for _ in range(MAX_DRAWS_PER_WORKER * len(views)):
            found = self._random.choices(indices, cum_weights=workers.cumulative_slots)
            if found[0] not in drawn:
                drawn.add(found[0])
                yield views[found[0]]
        rest = [index for index in indices if index not in drawn]
        self._random.shuffle(rest)
        yield from (views[index] for index in rest)


def _owner_score(key: str, view: WorkerView) -> float:
    """Return the weighted rendezvous score; the lowest scores own the object."""
    uniform = hash_to_unit_interval(key, view.entry.id) or 1e-12
    return -log(uniform) / view.entry.slots
