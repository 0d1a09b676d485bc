"""Store watchers of a data centre and heartbeat peers, by rendezvous hashing."""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import blake2b

from sycamorenotch_kernel import InstanceId

WATCHERS_PER_DATA_CENTRE = 2
HASH_BYTES = 8


def weight(key: str, instance: InstanceId) -> bytes:
    """Return the rendezvous weight of an instance for a key."""
    return blake2b(f"{key}|{instance}".encode(), digest_size=HASH_BYTES).digest()


def highest(
    key: str, instances: Iterable[InstanceId], count: int
) -> tuple[InstanceId, ...]:
    """Return the instances of the highest weight for a key, in descending order."""
    ordered = sorted(instances, key=lambda i: (weight(key, i), i), reverse=True)
    return tuple(ordered[:count])


def watchers(
    data_centre: str, instances: Iterable[InstanceId]
) -> tuple[InstanceId, ...]:
    """Return the instances that watch the store for a data centre.

    :param instances: usable instances of the data centre.
    """
    return highest(f"watch|{data_centre}", instances, WATCHERS_PER_DATA_CENTRE)


def successor(own_id: InstanceId, instances: Iterable[InstanceId]) -> InstanceId | None:
    """Return the next instance on the ring of hashed identifiers.

    Every instance is the successor of exactly one other, so that each is
    observed whatever the size of the ring.

    :return: none if there is no other instance.
    """
    others = {weight("ring", i): i for i in instances if i != own_id}
    if not others:
        return None
    own_weight = weight("ring", own_id)
    return others[min(others, key=lambda other: (other < own_weight, other))]


def neighbours(
    own_id: InstanceId, instances: Iterable[InstanceId], count: int
) -> tuple[InstanceId, ...]:
    """Return the fleet-wide heartbeat peers of an instance.

    Over all instances these form a fixed random graph.
    """
    others = (i for i in instances if i != own_id)
    return highest(f"contact|{own_id}", others, count)
