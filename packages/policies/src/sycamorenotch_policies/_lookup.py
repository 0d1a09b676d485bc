"""Answers to look-ups: which instances a caller should use."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from hashlib import blake2b
from ipaddress import IPv4Address
from ipaddress import IPv6Address
from itertools import accumulate
from itertools import chain
from itertools import islice
from typing import final

from expression import Error
from expression import Ok
from expression import Result

from sycamorenotch_kernel import Environment
from sycamorenotch_kernel import ErrorKind
from sycamorenotch_kernel import Failure
from sycamorenotch_kernel import InstanceState
from sycamorenotch_kernel import ListedInstance
from sycamorenotch_kernel import Plan
from sycamorenotch_kernel import PlanRoute
from sycamorenotch_policies._blocks import BlockTable

# Instances in an answer, and how many of them are in the serving region.
MAX_INSTANCES = 4
MAX_SERVING_INSTANCES = 3
BUCKET_COUNT = 1024
CACHE_MAX_ENTRIES = 4096
HASH_BYTES = 8

AnswerCache = dict[tuple[str, int, int], "LookupAnswer"]


@final
@dataclass(frozen=True, slots=True, eq=False)
class LookupAnswer:
    """Instances that a caller should use, the best first.

    Equal look-ups return the same object until an input changes, so that a front
    end can cache its encoded form by identity.

    :param lifetime: how long the caller may use the answer.
    :param region: region of the caller's address.
    :param serving: region that the plan chose for the caller.
    :param plan: sequence of the plan, or 0 if there is none.
    """

    instances: tuple[ListedInstance, ...]
    lifetime: timedelta
    region: str
    serving: str
    plan: int


@final
class LookupTable:
    """Answers look-ups for one generation of the environment.

    Callers are hashed by address into a fixed number of buckets. A bucket keeps
    its instances while the plan and the instance list are unchanged, and a change
    of shares moves only the buckets next to the boundaries between regions.

    :param environment: the environment document in force.
    :param home: region for addresses outside all client blocks.
    """

    def __init__(self, environment: Environment, home: str | None = None) -> None:
        self._environment = environment
        self._regions = tuple(environment.regions)
        self._home = self._regions.index(home) if home in self._regions else 0
        self._blocks = BlockTable(
            (block, index)
            for index, region in enumerate(environment.regions.values())
            for block in region.client_blocks
        )
        self._plan: Plan | None = None
        self._routes: dict[tuple[str, str], PlanRoute] = {}
        self._instances: tuple[ListedInstance, ...] = ()
        self._live: dict[str, tuple[ListedInstance, ...]] = {}
        self._cache: AnswerCache = {}

    def update(self, plan: Plan | None, instances: tuple[ListedInstance, ...]) -> None:
        """Set the plan in force and the instances; a change clears the cache.

        :param instances: instances known to be live or leaving.
        """
        if plan is self._plan and instances == self._instances:
            return
        self._plan = plan
        self._instances = instances
        self._routes = {} if plan is None else _most_urgent(plan)
        self._live = {
            region: tuple(
                item
                for item in instances
                if item.region == region and item.state is InstanceState.LIVE
            )
            for region in self._regions
        }
        self._cache = {}

    def answer(
        self, service: str, client: IPv4Address | IPv6Address
    ) -> Result[LookupAnswer, Failure]:
        """Answer one look-up.

        :param service: name of the service.
        :param client: address of the caller.
        :return: the answer; a failure if the service is unknown or no instance is
            live.
        """
        if service not in self._environment.services:
            return Error(Failure(ErrorKind.UNKNOWN_SERVICE, f"no service {service!r}"))
        found = self._blocks.find(client)
        source = self._home if found is None else found
        key = (service, source, _hash(client.packed) % BUCKET_COUNT)
        known = self._cache.get(key)
        if known is None:
            known = self._decide(*key)
            if not known.instances:
                return Error(Failure(ErrorKind.NO_UPSTREAM, "no instance is live"))
            if len(self._cache) >= CACHE_MAX_ENTRIES:
                self._cache.clear()
            self._cache[key] = known
        return Ok(known)

    def _decide(self, service: str, source: int, bucket: int) -> LookupAnswer:
        region = self._regions[source]
        near = sorted(self._regions, key=lambda r: (self._distance(region, r), r))
        usable = [name for name in near if self._live.get(name)]
        chosen = self._serving(service, region, bucket)
        serving = chosen if chosen in usable else next(iter(usable), region)
        ordered = _by_rendezvous(bucket, self._live.get(serving, ()))
        others = chain.from_iterable(
            _by_rendezvous(bucket, self._live[name])
            for name in usable
            if name != serving
        )
        # The last entry is in another region, so that a caller with a cached answer
        # survives the loss of a whole region.
        fallback = islice(others, MAX_INSTANCES - len(ordered[:MAX_SERVING_INSTANCES]))
        return LookupAnswer(
            instances=(*ordered[:MAX_SERVING_INSTANCES], *fallback),
            lifetime=self._environment.bounds.answer_lifetime,
            region=region,
            serving=serving,
            plan=0 if self._plan is None else self._plan.sequence,
        )

    def _serving(self, service: str, region: str, bucket: int) -> str:
        route = self._routes.get((service, region))
        if route is None:
            return region
        position = (bucket + 0.5) / BUCKET_COUNT
        ends = accumulate(item.share for item in route.shares)
        return next(
            (
                item.region
                for item, end in zip(route.shares, ends, strict=True)
                if position < end
            ),
            region,
        )

    def _distance(self, source: str, target: str) -> timedelta:
        if source == target:
            return timedelta()
        link = self._environment.links.get((source, target))
        return timedelta.max if link is None else link.latency


def _most_urgent(plan: Plan) -> dict[tuple[str, str], PlanRoute]:
    ordered = sorted(plan.routes, key=lambda route: route.rank, reverse=True)
    return {(route.service, route.source): route for route in ordered}


def _by_rendezvous(
    bucket: int, instances: tuple[ListedInstance, ...]
) -> tuple[ListedInstance, ...]:
    prefix = bucket.to_bytes(HASH_BYTES, "big")
    return tuple(sorted(instances, key=lambda item: _hash(prefix + item.id.encode())))


def _hash(value: bytes) -> int:
    return int.from_bytes(blake2b(value, digest_size=HASH_BYTES).digest(), "big")
