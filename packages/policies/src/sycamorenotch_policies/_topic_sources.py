"""Which instances watch the store, and from which of them the others follow it."""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Mapping
from math import ceil
from math import inf
from types import MappingProxyType
from typing import final

from sycamorenotch_kernel import InstanceId
from sycamorenotch_policies._rendezvous import highest
from sycamorenotch_policies._rendezvous import weight

# Two in each region, so that one stays when the other is lost.
MIN_WATCHERS = 2
# Each watcher answers the polls of at most this many others.
FOLLOWERS_PER_WATCHER = 48
# In a smaller region, watching for others costs as many calls as it saves.
MIN_RELAYED_MEMBERS = 6
# Links of at least this fraction of the widest one are preferred for watching: each
# change passes a watcher's link once for each of its followers.
WIDE_LINK_FRACTION = 0.5
# A watcher that did not answer is not polled for this time.
SUSPICION_S = 5.0
# One that refused, because it is not current itself, may be so again soon.
REFUSAL_SUSPICION_S = 0.5


def choose_watchers(
    members: Collection[str], links_mbps: Mapping[str, float] = MappingProxyType({})
) -> frozenset[str]:
    """Return the instances of a region that watch the store for all of them.

    Instances that agree on the members agree on the watchers. While the widest link
    stays, a member that joins or leaves replaces at most one of them.

    :param members: identifiers of the live instances.
    :param links_mbps: bandwidth of their links in Mbit/s; one that is not known counts
        as wide.
    """
    if len(members) < MIN_RELAYED_MEMBERS:
        return frozenset(members)
    count = max(MIN_WATCHERS, ceil(len(members) / FOLLOWERS_PER_WATCHER))
    known = (links_mbps[name] for name in members if name in links_mbps)
    wide_mbps = WIDE_LINK_FRACTION * max(known, default=0.0)

    def rank(name: str) -> tuple[bool, bytes, str]:
        is_wide = links_mbps.get(name, inf) >= wide_mbps
        return is_wide, weight("watch", InstanceId(name)), name

    return frozenset(sorted(members, key=rank, reverse=True)[:count])


@final
class TopicSources:
    """Chooses from where one instance follows the topics.

    All times are seconds on the monotonic clock.

    :param own_id: identifier of this instance.
    """

    def __init__(self, own_id: str) -> None:
        self._own_id = own_id
        self._members: frozenset[str] = frozenset({own_id})
        self._links_mbps: Mapping[str, float] = {}
        self._watchers: frozenset[str] = frozenset({own_id})
        self._suspect_until: dict[str, float] = {}

    def set_members(
        self,
        others: Collection[str],
        links_mbps: Mapping[str, float] = MappingProxyType({}),
    ) -> None:
        """Set the other live instances of the region.

        :param links_mbps: bandwidth of all links in Mbit/s, that of this one included.
        """
        members = frozenset(others) | {self._own_id}
        if members != self._members or links_mbps != self._links_mbps:
            self._members, self._links_mbps = members, links_mbps
            self._watchers = choose_watchers(members, links_mbps)

    @property
    def watches(self) -> bool:
        """Whether this instance is to watch the store."""
        return self._own_id in self._watchers

    @property
    def serves_others(self) -> bool:
        """Whether other instances follow the store through this one."""
        return self.watches and len(self._watchers) < len(self._members)

    def choose(self, now: float) -> str | None:
        """Return the watcher to follow, or ``None`` to watch the store directly.

        The followers of a region are spread over its watchers.
        """
        if self.watches:
            return None
        trusted = (
            InstanceId(name)
            for name in self._watchers
            if now >= self._suspect_until.get(name, now)
        )
        return next(iter(highest(f"follow|{self._own_id}", trusted, 1)), None)

    def record_failure(self, watcher: str, now: float, *, refused: bool) -> None:
        """Record that a watcher did not answer, or refused as it is not current."""
        self._suspect_until = {
            name: until for name, until in self._suspect_until.items() if until > now
        }
        suspicion_s = REFUSAL_SUSPICION_S if refused else SUSPICION_S
        self._suspect_until[watcher] = now + suspicion_s
