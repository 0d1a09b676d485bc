"""Tests of customers' keys at a gateway with a stand-in store and workers."""

from __future__ import annotations

import dataclasses
import time
from typing import Any

import orjson
import pytest
from testing.platform.conftest import Site
from testing.platform.conftest import build_gateway
from testing.platform.conftest import configuration
from testing.platform.conftest import route
from testing.platform.test_sources import Fleet
from twisted.internet import reactor
from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.endpoints import connectProtocol
from twisted.internet.protocol import Protocol
from twisted.internet.task import deferLater

from sycamorenotch_gateway._key_age import KeyAge
from sycamorenotch_gateway._routes import Routes
from sycamorenotch_policies.customers import Unidentified
from sycamorenotch_transport import Http1Pool
from sycamorenotch_transport import get_header

KEY = "key-of-acme-5ce1"
OTHER_KEY = "key-of-bolt-77aa"
# Scaled down from the users' 5 s, so that the tests are short.
REVOCATION_S = 1.5
CLOSED = f"fail_closed = true\nrevocation = {int(REVOCATION_S * 1000)}ms\n"


def tenant(name: str, *keys: str, **changes: Any) -> dict[str, Any]:
    return {
        "resource_kind": "tenants",
        "metadata": {"name": name},
        "specification": {"keys": list(keys), **changes},
    }


def with_tenants(*tenants: dict[str, Any], version: int = 1) -> dict[str, Any]:
    main = configuration(version)
    public = route("/open/", "safe", public=True)
    return {**main, "resources": [*main["resources"], public, *tenants]}


MAIN = with_tenants(tenant("acme", KEY), tenant("bolt", OTHER_KEY))


async def call(site: Site, key: str = "", path: str = "/safe/1", **headers: str):
    pairs = (("X-Credential", key),) if key else ()
    return await site.call(path, pairs=(*pairs, ("X-Tenant", "forged")), **headers)


def sent_headers(site: Site) -> list[tuple[str, str]]:
    """Return the headers of the last request to a worker."""
    (worker,) = (w for w in site.workers if w.requests)
    return [(name.lower(), value) for name, value in worker.requests[-1].headers]


def assert_log_holds_no_key(site: Site) -> None:
    lines = repr(site.sink.events)
    assert KEY not in lines
    assert OTHER_KEY not in lines


async def apply(site: Site, main: dict[str, Any]) -> None:
    site.store.put("config", "main", main)
    routes = site.gateway.node.require(Routes)
    await site.wait_until(lambda: routes.version == main["version"])


def test_unknown_and_missing_keys_get_401(run_on_site) -> None:
    """Guards against a request that runs without a valid key."""

    async def scenario(site: Site) -> None:
        for key in ("", "unknown"):
            response = await call(site, key)
            assert response.status == 401
            assert orjson.loads(response.body)["kind"] == "unauthorized"
        assert not any(worker.requests for worker in site.workers)
        lines = map(dataclasses.asdict, site.events("request.refused"))
        assert {line["detail"] for line in lines} == {
            Unidentified.NO_KEY.value,
            Unidentified.UNKNOWN_KEY.value,
        }
        page = (await site.fetch("metrics", "/metrics")).body.decode()
        assert 'refused_keys_total{reason="unauthorized"} 2' in page

    run_on_site(scenario, main=MAIN)


def test_worker_gets_the_customer_and_no_key(run_on_site) -> None:
    """Guards against a key, or a forged customer, that reaches a worker or the log."""

    async def scenario(site: Site) -> None:
        assert (await call(site, KEY)).status == 200
        headers = dict(sent_headers(site))
        assert headers["x-tenant"] == "acme"
        assert "x-credential" not in headers
        assert (await call(site, KEY, "/open/1")).status == 200
        assert not {"x-tenant", "x-credential"} & dict(sent_headers(site)).keys()
        assert_log_holds_no_key(site)

    run_on_site(scenario, count=1, main=MAIN)


def test_headers_pass_unchanged_without_customers(run_on_site) -> None:
    """Guards against changes for deployments without customers, at any age."""

    async def scenario(site: Site) -> None:
        site.store.silent = True
        await deferLater(reactor, REVOCATION_S + 0.2, lambda: None)
        assert (await call(site, KEY)).status == 200
        headers = dict(sent_headers(site))
        assert (headers["x-credential"], headers["x-tenant"]) == (KEY, "forged")

    run_on_site(scenario, count=1, options={"bounds": CLOSED})


def test_homes_without_a_common_region_are_refused(run_on_site) -> None:
    """Guards against an empty intersection that is taken for every region."""
    main = with_tenants(
        tenant("acme", KEY, home_regions=["east"]), tenant("bolt", OTHER_KEY)
    )
    for item in main["resources"]:
        if item["resource_kind"] == "routes":
            item["specification"]["home_regions"] = ["west"]

    async def scenario(site: Site) -> None:
        assert (await call(site, KEY)).status == 503
        assert (await call(site, OTHER_KEY)).status == 200

    run_on_site(scenario, main=main)


def test_revoked_key_stops_on_an_open_connection(run_on_site) -> None:
    """Guards against keys that are checked once for each connection."""

    async def scenario(site: Site) -> None:
        pool = Http1Pool(reactor, site.gateway.addresses["callers"], time.monotonic)
        pairs = (("X-Credential", KEY),)
        first = await pool.exchange(site.request(pairs=pairs), 1.0)
        await apply(site, with_tenants(tenant("acme", "new"), version=2))
        second = await pool.exchange(site.request(pairs=pairs), 1.0)
        pool.close()
        assert (first.status, second.status) == (200, 401)
        (changed, _) = site.events("customers.changed")
        assert (changed.customers, changed.previous) == (2, 0)

    run_on_site(scenario, main=MAIN)


def test_key_that_is_revoked_during_the_first_attempt_gets_no_second(
    run_on_site,
) -> None:
    """Guards against a retry with a key that is no longer valid."""

    async def scenario(site: Site) -> None:
        sending = Deferred.fromCoroutine(call(site, KEY))
        await site.wait_until(lambda: any(w.requests for w in site.workers))
        await apply(site, with_tenants(tenant("acme", "new"), version=2))
        for worker in site.workers:
            worker.mode = "cut"
            for connection in tuple(worker.server.connections):
                connection.transport.abortConnection()
        assert (await sending).status == 502
        assert sum(len(worker.requests) for worker in site.workers) == 1

    run_on_site(scenario, main=MAIN, mode="slow", delay_s=1.0)


def test_invalid_customers_leave_the_last_configuration_in_force(run_on_site) -> None:
    """Guards against a shared key that runs for one of two customers, or is logged."""

    async def scenario(site: Site) -> None:
        site.store.put(
            "config",
            "main",
            with_tenants(tenant("acme", KEY), tenant("bolt", KEY), version=2),
        )
        await site.wait_until(lambda: site.events("configuration.rejected"))
        (rejected,) = site.events("configuration.rejected")
        assert "acme" in rejected.problem
        assert "bolt" in rejected.problem
        assert (await call(site, OTHER_KEY)).status == 200
        assert_log_holds_no_key(site)

    run_on_site(scenario, main=MAIN)


def test_malformed_request_leaves_its_key_out_of_the_log(run_on_site) -> None:
    """Guards against parser errors that quote the line with the key."""

    async def scenario(site: Site) -> None:
        host, port = site.gateway.addresses["callers"].split(":")
        endpoint = TCP4ClientEndpoint(reactor, host, int(port))
        client = await connectProtocol(endpoint, Protocol())
        client.transport.write(
            f"GET /safe/1 HTTP/1.1\r\nHost: h\r\nX-Credential {KEY}\r\n\r\n".encode()
        )
        await site.wait_until(lambda: site.events("gateway.request-rejected"))
        client.transport.abortConnection()
        assert_log_holds_no_key(site)

    run_on_site(scenario, main=MAIN)


def test_silent_store_refuses_keys_after_the_bound_and_serves_public_routes(
    run_on_site,
) -> None:
    """Guards against a revoked key that runs at an instance without the store."""

    async def scenario(site: Site) -> None:
        site.store.silent = True
        # The watch that waits at this moment is still answered.
        await deferLater(reactor, 0.4 * REVOCATION_S, lambda: None)
        site.store.put("config", "main", with_tenants(tenant("bolt", "new"), version=2))
        revoked_at = time.monotonic()
        assert (await call(site, KEY)).status == 200
        status = 200
        while status == 200 and time.monotonic() < revoked_at + 2 * REVOCATION_S:
            status = (await call(site, KEY)).status
            await deferLater(reactor, 0.02, lambda: None)
        assert time.monotonic() - revoked_at <= REVOCATION_S
        response = await call(site, KEY)
        assert response.status == 503
        assert orjson.loads(response.body)["kind"] == "not-ready"
        assert float(get_header(response.headers, "retry-after")) > 0
        assert (await call(site)).status == 401
        assert (await call(site, path="/open/1")).status == 200
        site.store.silent = False
        await site.wait_until(lambda: site.events("customers.keys-accepted"))
        assert (await call(site, KEY)).status == 401
        (refused,) = site.events("customers.keys-refused")
        assert refused.age_s >= refused.limit_s

    run_on_site(scenario, main=MAIN, options={"bounds": CLOSED})


# The era of a store that states none was taken for an older one, whose answers prove
# nothing.
def test_keys_are_accepted_when_the_store_states_no_era(run_on_site) -> None:
    async def scenario(site: Site) -> None:
        site.store.states_era = False
        gateway = build_gateway(site.store, "new", CLOSED)
        gateway.start()
        first, site.gateway = site.gateway, gateway
        try:
            await site.wait_until_ready()
            assert (await call(site, KEY)).status == 200
            assert site.events("customers.keys-refused") == []
        finally:
            await first.stop()

    run_on_site(scenario, main=MAIN, options={"bounds": CLOSED})


def test_instance_that_was_suspended_refuses_keys_when_it_wakes(run_on_site) -> None:
    """Guards against an age on a clock that stops while a machine is suspended."""
    suspended_s = [0.0]

    def clock() -> float:
        return time.monotonic() + suspended_s[0]

    async def scenario(site: Site) -> None:
        assert (await call(site, KEY)).status == 200
        site.store.silent = True
        suspended_s[0] = 60.0
        assert (await call(site, KEY)).status == 503

    run_on_site(scenario, main=MAIN, options={"bounds": CLOSED, "boot_clock": clock})


@pytest.mark.parametrize("bounds", ["", CLOSED])
def test_calm_instance_keeps_its_age_low_with_few_calls(run_on_site, bounds) -> None:
    """Guards against refusals in calm, and against more calls without the bound."""

    async def scenario(site: Site) -> None:
        routes = site.gateway.node.require(Routes)
        await deferLater(reactor, 0.5, lambda: None)
        site.store.calls.clear()
        oldest_s = 0.0
        for _ in range(150):
            oldest_s = max(oldest_s, routes.age_s)
            await deferLater(reactor, 0.02, lambda: None)
        calls = site.store.calls.count("GET config")
        if bounds:
            assert oldest_s < 0.6 * REVOCATION_S
        assert calls <= (10 if bounds else 2)

    run_on_site(scenario, main=MAIN, options={"bounds": bounds})


@pytest.fixture
def run_keyed_fleet(run_in_reactor):
    """Return a function that runs a scenario on a region that refuses old keys."""

    def run(scenario) -> None:
        async def main() -> None:
            fleet = Fleet(MAIN, CLOSED)
            try:
                await fleet.start()
                await scenario(fleet)
            finally:
                await fleet.stop()

        run_in_reactor(main())

    return run


def ages_s(fleet: Fleet) -> dict[str, float]:
    return {name: fleet.part(name, Routes).age_s for name in fleet.gateways}


def test_calm_followers_take_the_age_of_their_watcher(run_keyed_fleet) -> None:
    """Guards against followers near the bound in calm, or that ask the store."""

    async def scenario(fleet: Fleet) -> None:
        oldest_s = 0.0
        fleet.store.calls.clear()
        for _ in range(100):
            oldest_s = max(oldest_s, *ages_s(fleet).values())
            await deferLater(reactor, 0.02, lambda: None)
        assert oldest_s < 0.65 * REVOCATION_S
        # The two watchers alone.
        assert fleet.store.calls.count("GET config") <= 14
        for name in fleet.gateways:
            assert len(fleet.part(name, Routes).table.customers) == 2

    run_keyed_fleet(scenario)


def test_no_follower_is_younger_than_its_watchers_in_silence(run_keyed_fleet) -> None:
    """Guards against followers that trust keys longer than their watcher may."""

    async def scenario(fleet: Fleet) -> None:
        fleet.store.silent = True
        silent_at = time.monotonic()
        while time.monotonic() < silent_at + REVOCATION_S:
            elapsed_s = time.monotonic() - silent_at
            # A watch sent just before may still end with an answer.
            assert min(ages_s(fleet).values()) >= elapsed_s - 0.6
            await deferLater(reactor, 0.02, lambda: None)
        for name in fleet.gateways:
            assert not fleet.part(name, KeyAge).allows_keys()

    run_keyed_fleet(scenario)


def test_instance_near_the_bound_asks_the_store_about_once_a_second(
    run_on_site,
) -> None:
    """Guards against refusals, or a storm of calls, when a watch brings no answers."""

    async def scenario(site: Site) -> None:
        site.gateway.node.require(Routes)._follower.stop()
        await deferLater(reactor, 0.4 * REVOCATION_S, lambda: None)
        site.store.calls.clear()
        started_at = time.monotonic()
        while time.monotonic() < started_at + 3 * REVOCATION_S:
            assert (await call(site, KEY)).status == 200
            await deferLater(reactor, 0.05, lambda: None)
        assert 2 <= site.store.calls.count("GET config") <= 3 * REVOCATION_S + 1
        # What such a call finds applies at once.
        await apply(site, with_tenants(tenant("bolt", OTHER_KEY), version=2))
        assert (await call(site, KEY)).status == 401

    run_on_site(scenario, main=MAIN, options={"bounds": CLOSED})
