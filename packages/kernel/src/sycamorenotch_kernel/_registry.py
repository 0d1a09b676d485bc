"""Registries that plug-in modules fill through decorators."""

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
    """Base class of errors raised by a registry."""


@final
class DuplicateNameError(RegistryError):
    """Raised when a name is already registered."""


@final
class UnknownNameError(RegistryError, LookupError):
    """Raised when a name is not registered."""


@final
@dataclass(frozen=True, slots=True)
class RegistryEntry(Generic[T]):
    """A registered value with its name and origin.

    :param name: unique name within the registry.
    :param value: the registered function, class or object.
    :param module: full name of the module that registered the value.
    """

    name: str
    value: T
    module: str


@final
class Registry(Generic[T]):
    """Named implementations of one kind of behaviour.

    Iteration yields the entries sorted by name.

    :param kind: what the registry holds, as shown in error messages and lists.
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
        """Register a value directly.

        Decorators use this when the value is not the decorated object itself.

        :param name: unique name within the registry.
        :param module: module to report as the one that registered the value.
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
            lists the registered names.
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
