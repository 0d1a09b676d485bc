"""Tests of route matching and of the choice among weighted services."""

from __future__ import annotations

from sycamorenotch_kernel import ClientLimits
from sycamorenotch_kernel import ForwardingConfiguration
from sycamorenotch_kernel import ForwardingRoute
from sycamorenotch_kernel import RequestKind
from sycamorenotch_kernel import WeightedService
from sycamorenotch_policies import RouteTable
from sycamorenotch_policies import pick_service


def route(name: str, host: str, prefix: str, *services: tuple[str, float]):
    parts = tuple(WeightedService(*part) for part in services or (("s", 1.0),))
    return ForwardingRoute(name, host, prefix, RequestKind.SAFE, parts)


def table(*routes: ForwardingRoute) -> RouteTable:
    return RouteTable(ForwardingConfiguration(1, 1, routes, {}, ClientLimits()))


def test_match_longest_prefix_when_several_begin_the_path() -> None:
    found = table(route("a", "h", "/"), route("b", "h", "/x/")).match("h", "/x/1")
    assert found is not None and found.name == "b"


def test_match_nothing_when_host_is_unknown() -> None:
    assert table(route("a", "h", "/")).match("other", "/") is None


def test_match_ignores_port_and_case_of_host() -> None:
    assert table(route("a", "h.example", "/")).match("H.example:80", "/") is not None


def test_pick_service_in_proportion_to_weights() -> None:
    split = route("a", "h", "/", ("s", 90.0), ("t", 10.0))
    picked = [pick_service(split, draw / 1000) for draw in range(1000)]
    assert picked.count("t") == 100
    assert picked.count("s") == 900


def test_pick_service_gives_nothing_to_weight_zero() -> None:
    split = route("a", "h", "/", ("s", 0.0), ("t", 1.0))
    assert {pick_service(split, draw / 10) for draw in range(10)} == {"t"}
