"""Which instances a caller should use."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from ipaddress import IPv4Address
from ipaddress import IPv6Address
from typing import final

from expression import Error
from expression import Ok
from expression import Result

from sycamorenotch_kernel import Environment
from sycamorenotch_kernel import ErrorKind
from sycamorenotch_kernel import Failure
from sycamorenotch_kernel import InstanceState
from sycamorenotch_kernel import ListedInstance
from sycamorenotch_policies._blocks import BlockTable

MAXIMUM_INSTANCES = 4


@final
@dataclass(frozen=True, slots=True)
class LookupAnswer:
    """Instances to use, the best first.

    :param lifetime: how long the caller may use the answer.
    :param region: the region that the caller's address belongs to.
    """

    instances: tuple[ListedInstance, ...]
    lifetime: timedelta
    region: str


@final
class LookupTable:
    """Answers look-ups for one generation of the environment.

    :param environment: the document in force.
    """

    def __init__(self, environment: Environment) -> None:
        self._environment = environment
        self._regions = tuple(environment.regions)
        self._blocks = BlockTable(
            (block, index)
            for index, region in enumerate(environment.regions.values())
            for block in region.client_blocks
        )

    def answer(
        self,
        service: str,
        client: IPv4Address | IPv6Address,
        instances: tuple[ListedInstance, ...],
    ) -> Result[LookupAnswer, Failure]:
        """Answer one look-up.

        :param service: name of the service.
        :param client: the caller's address.
        :param instances: the instances known to be live or leaving.
        """
        if service not in self._environment.services:
            return Error(Failure(ErrorKind.UNKNOWN_SERVICE, f"no service {service!r}"))
        index = self._blocks.find(client)
        region = self._regions[index or 0]
        live = (i for i in instances if i.state is InstanceState.LIVE)
        ordered = sorted(live, key=lambda i: (self._distance(region, i.region), i.id))
        if not ordered:
            return Error(Failure(ErrorKind.NO_UPSTREAM, "no instance is live"))
        lifetime = self._environment.bounds.answer_lifetime
        return Ok(LookupAnswer(tuple(ordered[:MAXIMUM_INSTANCES]), lifetime, region))

    def _distance(self, source: str, target: str) -> timedelta:
        if source == target:
            return self._environment.regions[source].client_latency
        link = self._environment.links.get((source, target))
        return timedelta.max if link is None else link.latency
