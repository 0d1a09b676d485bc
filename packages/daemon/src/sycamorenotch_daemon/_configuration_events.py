"""Events of the distribution of configurations."""

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
    """A peer serves another text under the same generation."""

    instance: str
    generation: int


@event(2112, "configuration.push-damaged", Severity.WARNING)
@final
@dataclass(frozen=True, slots=True)
class ConfigurationPushDamaged(Event):
    """A pushed configuration does not have the digest that came with it."""

    instance: str
    generation: int


@event(2113, "configuration.store-behind", Severity.ERROR)
@final
@dataclass(frozen=True, slots=True)
class StoreBehind(Event):
    """The store gave an older generation than the one in force, which stays."""

    stored: int
    in_force: int
