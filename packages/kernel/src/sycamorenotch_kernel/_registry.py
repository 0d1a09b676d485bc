"""Registries that plug-in modules fill with decorators."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Generic
from typing import TypeVar
from typing import final

T = TypeVar("T")
V = TypeVar("V")


class RegistryError(Exception):
    """Base class of the errors that a registry raises."""


@final
class DuplicateNameError(RegistryError):
    """A name was registered twice."""


@final
class UnknownNameError(RegistryError, LookupError):
    """A name is not registered."""


@final
@dataclass(frozen=True, slots=True)
class RegistryEntry(Generic[T]):
    """One registered value.

    :param name: unique name within the registry.
    :param value: the registered function, class or instance.
    :param module: module that registered the value.
    """

    name: str
    value: T
    module: str


@final
class Registry(Generic[T]):
    """Named values of one kind of behaviour.

    :param kind: what the registry holds, for messages and listings.
    """

    def __init__(self, kind: str) -> None:
        self.kind = kind
        self._entries: dict[str, RegistryEntry[T]] = {}

    def register(self, name: str) -> Callable[[V], V]:
        """Return a decorator that registers a value under ``name``.

        :param name: unique name within the registry.
        :raises DuplicateNameError: if the name is taken.
        """

        def decorate(value: V) -> V:
            module = getattr(value, "__module__", type(value).__module__)
            self.add(name, value, module)  # type: ignore[arg-type]
            return value

        return decorate

    def add(self, name: str, value: T, module: str) -> None:
        """Register a value for decorators that build it from a class.

        :param module: module that is shown as the one that registered it.
        :raises DuplicateNameError: if the name is taken.
        """
        known = self._entries.get(name)
        if known is not None:
            raise DuplicateNameError(
                f"{self.kind} {name!r} is already registered by {known.module}"
            )
        self._entries[name] = RegistryEntry(name, value, module)

    def get(self, name: str) -> T:
        """Return the value registered under ``name``.

        :raises UnknownNameError: if the name is not registered; the message
            lists the names that are.
        """
        entry = self._entries.get(name)
        if entry is None:
            known = ", ".join(sorted(self._entries)) or "none"
            raise UnknownNameError(f"unknown {self.kind} {name!r}; known: {known}")
        return entry.value

    def __contains__(self, name: object) -> bool:
        return name in self._entries

    def __iter__(self) -> Iterator[RegistryEntry[T]]:
        return iter(sorted(self._entries.values(), key=lambda entry: entry.name))

    def __len__(self) -> int:
        return len(self._entries)
