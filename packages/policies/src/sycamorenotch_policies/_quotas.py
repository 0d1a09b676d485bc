"""Which workers' slots the grant of an instance stands for."""

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
    """Return the slots of each worker that an instance fills first.

    Instances cannot see what the others send to a worker. The slots are dealt
    in one order that every instance works out alike, so that grants which fit
    into the capacity fill each worker's slots without a queue on any of them.

    :param grants: the grants of a plan for one region and service.
    :param workers: the usable workers of that region and service.
    """
    ordered = sorted(workers, key=lambda worker: worker.name)
    rounds = zip_longest(*([worker.name] * worker.slots for worker in ordered))
    slots = (name for name in chain.from_iterable(rounds) if name is not None)
    for grant in sorted(grants, key=lambda grant: grant.instance):
        dealt = Counter(islice(slots, grant.floor + grant.loan))
        if grant.instance == instance:
            return dealt
    return Counter()
