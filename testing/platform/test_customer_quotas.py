"""Tests of customers' quotas at real gateways."""

from __future__ import annotations

import dataclasses
import time

import orjson
import pytest
from testing.platform.conftest import build_gateway
from twisted.internet import reactor
from twisted.internet.task import deferLater

from sycamorenotch_gateway import Gateway
from sycamorenotch_gateway._customer_quotas import CustomerQuotaGate
from sycamorenotch_gateway._peers import Peers
from sycamorenotch_gateway._routes import Routes
from sycamorenotch_kernel import Customer
from sycamorenotch_kernel import digest_key
from sycamorenotch_transport import Http1Pool
from sycamorenotch_transport import HttpRequest

RATE = 8.0
CALLS = 100
LIMITED = Customer("limited", frozenset({digest_key("k-1")}), rate=RATE, burst=4.0)
FREE = Customer("free", frozenset({digest_key("k-2")}))


def set_customers(gateway: Gateway, *customers: Customer) -> None:
    routes = gateway.node.require(Routes)
    in_force = routes.table.configuration
    routes.apply(
        dataclasses.replace(in_force, version=in_force.version + 1, customers=customers)
    )


async def call_with(site, key: str):
    request = site.request(patience="900")
    headers = (*request.headers, ("X-Credential", key))
    address = site.gateway.addresses["callers"]
    pool = Http1Pool(reactor, address, time.monotonic)
    try:
        return await pool.exchange(HttpRequest("GET", request.target, headers), 1.0)
    finally:
        pool.close()


# A gateway that forwards whatever comes lets one customer use up the workers.
def test_requests_beyond_the_quota_are_refused_and_not_run(run_on_site) -> None:
    async def scenario(site) -> None:
        set_customers(site.gateway, LIMITED, FREE)
        answers = []
        for _ in range(CALLS):
            answers.append(await call_with(site, "k-1"))
            await deferLater(reactor, 0.02, lambda: None)
        refused = [answer for answer in answers if answer.status == 429]
        assert 10 <= len(answers) - len(refused) <= 5 * RATE + 4 + 20
        assert len(refused) >= CALLS / 3
        ran = sum(len(worker.requests) for worker in site.workers)
        assert ran == CALLS - len(refused)
        for answer in refused:
            headers = {name.lower(): value for name, value in answer.headers}
            assert 0 < float(headers["retry-after"]) <= 0.3
            assert orjson.loads(answer.body) == {"kind": "quota-exceeded", "ran": "no"}
        # At most a line a second.
        events = site.events("quota.exceeded")
        assert 1 <= len(events) <= 6
        assert events[0].customer == "limited"
        for _ in range(30):
            assert (await call_with(site, "k-2")).status == 200
        page = (await site.fetch("metrics", "/metrics")).body.decode()
        assert 'customer="limited",decision="refused"' in page

    run_on_site(scenario)


# Without the demand of others, each instance would admit the whole quota.
def test_heartbeats_tell_other_instances_the_demand(run_on_site) -> None:
    async def scenario(site) -> None:
        other = build_gateway(site.store, "other")
        other.start()
        try:
            peers = site.gateway.node.require(Peers)
            await site.wait_until(lambda: peers.live_count == 2)
            set_customers(site.gateway, LIMITED)
            await site.wait_until(lambda: other.node.require(Routes).table is not None)
            set_customers(other, LIMITED)
            gate = other.node.require(CustomerQuotaGate)
            known = gate._quotas.peers
            for _ in range(10):
                await call_with(site, "k-1")
            await site.wait_until(lambda: known.sums("limited").fast > 1.0)
            assert known.sums("limited").all_part == pytest.approx(1.0, rel=0.01)
        finally:
            await other.stop()

    run_on_site(scenario)


# Others take a report without a customer for no demand of it.
def test_new_configuration_does_not_retract_reported_demand(run_on_site) -> None:
    async def scenario(site) -> None:
        gate = site.gateway.node.require(CustomerQuotaGate)
        set_customers(site.gateway, LIMITED)
        await call_with(site, "k-1")
        gate.update_report(0, 1.0, time.monotonic())
        assert gate.report is not None
        set_customers(site.gateway, LIMITED, FREE)
        assert gate.report is None

    run_on_site(scenario)


# One such name would make the whole page unreadable for the monitoring system.
def test_names_of_customers_are_escaped_in_metrics(run_on_site) -> None:
    async def scenario(site) -> None:
        set_customers(site.gateway, dataclasses.replace(LIMITED, name='a"b\\c'))
        await call_with(site, "k-1")
        page = (await site.fetch("metrics", "/metrics")).body.decode()
        assert 'customer="a\\"b\\\\c"' in page

    run_on_site(scenario)
