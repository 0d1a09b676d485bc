"""Assignment of worker slots to the grants of instances."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from itertools import chain
from itertools import islice
from itertools import zip_longest

from sycamorenotch_kernel import Grant
from sycamorenotch_kernel import InstanceId
from sycamorenotch_kernel import Worker


def worker_quotas(
    grants: Iterable[Grant], workers: Iterable[Worker], instance: InstanceId
) -> Counter[str]:
    """Return the slots of each worker that an instance prefers to fill.

    Instances do not know what the others send to a worker. Every instance computes
    the same assignment of slots to grants, so that grants within the capacity fill
    each worker's slots without queueing on any of them.

    :param grants: the grants of a plan for one region and service.
    :param workers: the usable workers of that region and service.
    """
    ordered = sorted(workers, key=lambda worker: worker.name)
    slot_rounds = zip_longest(*([worker.name] * worker.slots for worker in ordered))
    slots = (name for name in chain.from_iterable(slot_rounds) if name is not None)
    for grant in sorted(grants, key=lambda grant: grant.instance):
        assigned = Counter(islice(slots, grant.floor + grant.loan))
        if grant.instance == instance:
            return assigned
    return Counter()
