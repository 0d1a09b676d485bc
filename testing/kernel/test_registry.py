"""Tests of the registry class."""

from __future__ import annotations

import pytest

from sycamorenotch_kernel import DuplicateNameError
from sycamorenotch_kernel import Registry
from sycamorenotch_kernel import UnknownNameError


@pytest.fixture
def registry() -> Registry[type]:
    registry: Registry[type] = Registry("shape")
    registry.register("round")(int)
    return registry


def test_register_raises_when_name_is_taken(registry: Registry[type]) -> None:
    with pytest.raises(DuplicateNameError, match="'round' is already registered"):
        registry.register("round")(str)


def test_get_lists_known_names_when_name_is_unknown(registry: Registry[type]) -> None:
    with pytest.raises(UnknownNameError, match="'square'; known: round"):
        registry.get("square")
