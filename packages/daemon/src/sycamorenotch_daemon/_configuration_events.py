"""Events of configuration distribution."""

from __future__ import annotations

from dataclasses import dataclass
from typing import final

from sycamorenotch_kernel import Event
from sycamorenotch_kernel import Severity
from sycamorenotch_kernel import event


@event(2111, "configuration.contradicted", Severity.ERROR)
@final
@dataclass(frozen=True, slots=True)
class ConfigurationContradicted(Event):
    """A peer serves a different document under the same generation."""

    instance: str
    generation: int


@event(2112, "configuration.push-damaged", Severity.WARNING)
@final
@dataclass(frozen=True, slots=True)
class ConfigurationPushDamaged(Event):
    """The digest of a pushed configuration does not match its content."""

    instance: str
    generation: int


@event(2113, "configuration.store-behind", Severity.ERROR)
@final
@dataclass(frozen=True, slots=True)
class StoreBehind(Event):
    """The store returned an older generation than the one in force.

    The generation in force stays.
    """

    stored: int
    in_force: int
