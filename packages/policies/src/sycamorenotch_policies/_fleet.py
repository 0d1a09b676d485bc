"""Description of the instances of the fleet."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from typing import final

from sycamorenotch_kernel import InstanceId
from sycamorenotch_kernel import MemberState


@final
@dataclass(frozen=True, slots=True)
class FleetMember:
    """One instance as observed by one daemon.

    :param incarnation: number that rises with each start of the instance.
    :param generation: configuration generation it is known to serve, or 0.
    :param digest: digest of that configuration, or an empty string.
    :param last_heard: time since the newest information, or None if there is none.
    :param listed: whether the platform's list contains the instance.
    """

    instance: InstanceId
    region: str
    data_centre: str
    state: MemberState
    incarnation: int
    generation: int
    digest: str
    last_heard: timedelta | None
    listed: bool
