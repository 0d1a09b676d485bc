"""Choice of the instances that a look-up answer names."""

from __future__ import annotations

from collections.abc import Iterable

from sycamorenotch_kernel import PeerEntry
from sycamorenotch_policies._liveness import Heartbeat

# Above this utilisation of processors or links weaker instances are named too. The
# rest absorbs the load of one failed instance out of two.
TARGET_UTILISATION = 0.5
# Callers need a second instance if one fails.
MIN_INSTANCES = 2
# Instances with at least this share of the strength of the strongest in a group
# belong to the group.
SIMILAR_STRENGTH_SHARE = 0.8


def choose_instances(
    serving: Iterable[Heartbeat], region: str, data_centre: str, most: int
) -> tuple[PeerEntry, ...]:
    """Return the instances that a look-up answer names to a caller.

    Candidates are those of its data centre if there are two or more, else those
    of its region, else all. Of these, the strongest are named that have capacity
    for the present load of all candidates.

    :param serving: heartbeats of the instances that accept requests.
    :param most: maximum number of instances in an answer.
    """
    found = sorted(serving, key=lambda heartbeat: heartbeat.entry.id)
    near = [heartbeat for heartbeat in found if heartbeat.entry.region == region]
    same = [
        heartbeat for heartbeat in near if heartbeat.entry.data_centre == data_centre
    ]
    chosen = _strongest(same if len(same) > 1 else near or found)
    return tuple(heartbeat.entry for heartbeat in chosen[:most])


def _strongest(heartbeats: list[Heartbeat]) -> list[Heartbeat]:
    """Return the fewest groups of similar instances that can carry the load of all."""
    if not heartbeats:
        return []
    processors = max(heartbeat.capacity.processors for heartbeat in heartbeats)
    link = max(heartbeat.capacity.link_mbps for heartbeat in heartbeats)

    def strength(heartbeat: Heartbeat) -> float:
        return min(
            heartbeat.capacity.processors / processors,
            heartbeat.capacity.link_mbps / link,
        )

    chosen: list[Heartbeat] = []
    rest = sorted(heartbeats, key=strength, reverse=True)
    while rest and not (
        len(chosen) >= MIN_INSTANCES and _have_capacity(chosen, heartbeats)
    ):
        least = SIMILAR_STRENGTH_SHARE * strength(rest[0])
        chosen += [heartbeat for heartbeat in rest if strength(heartbeat) >= least]
        rest = [heartbeat for heartbeat in rest if strength(heartbeat) < least]
    return sorted(chosen, key=lambda heartbeat: heartbeat.entry.id)


def _have_capacity(chosen: list[Heartbeat], heartbeats: list[Heartbeat]) -> bool:
    """Return whether the chosen instances have capacity for the load of all."""
    processors = (
        sum(heartbeat.capacity.processors for heartbeat in chosen) * TARGET_UTILISATION
    )
    link = (
        sum(heartbeat.capacity.link_mbps for heartbeat in chosen) * TARGET_UTILISATION
    )
    return processors >= sum(
        heartbeat.usage.processors for heartbeat in heartbeats
    ) and (link >= sum(heartbeat.usage.link_mbps for heartbeat in heartbeats))
