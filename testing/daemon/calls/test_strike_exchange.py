"""Tests of a poison request that is sent to one instance after another."""

from __future__ import annotations

import pytest
import treq
from twisted.internet import reactor
from twisted.internet.task import deferLater

from sycamorenotch_daemon._peer_mesh import PeerMesh
from sycamorenotch_policies import Quarantine
from sycamorenotch_policies import sign_request
from sycamorenotch_workbench import LocalExample

POISON = "/balances/poison"


@pytest.fixture
def example(run_in_reactor):
    example = LocalExample(reactor, instances=3)
    run_in_reactor(example.start())
    yield example
    run_in_reactor(example.stop())


def test_request_is_quarantined_at_every_instance_after_strikes_at_one(
    example, run_in_reactor
) -> None:
    for worker in example.workers.values():
        worker.fault.set("crash", 0, None, POISON)
    quarantines = [d.node.require(Quarantine) for d in example.daemons]
    meshes = [d.node.require(PeerMesh) for d in example.daemons]
    clocks = [d.node.clock for d in example.daemons]
    signature = sign_request("balance", "GET", POISON, b"")

    async def call(index: int):
        callers = example.describe()["callers"][index]
        response = await treq.get(f"{callers}/v1/call/balance{POISON}")
        return (await treq.json_content(response))["kind"]

    async def scenario() -> None:
        while not all(mesh.connected() for mesh in meshes):
            await deferLater(reactor, 0.05)
        kinds = [await call(0) for _ in range(3)]
        assert kinds[-1] == "quarantined"
        pairs = list(zip(quarantines, clocks, strict=True))
        while not all(q.remaining(signature, c.monotonic()) for q, c in pairs):
            await deferLater(reactor, 0.05)
        assert [await call(1), await call(2)] == ["quarantined"] * 2

    run_in_reactor(scenario())
