"""Tests of invariant I4: an answer is complete and belongs to its request."""

from __future__ import annotations

import pytest
from expression import Ok

from sycamorenotch_daemon._upstream_client import UpstreamClient
from sycamorenotch_kernel import CallAnswer
from sycamorenotch_workbench._soak_document import soak_document
from sycamorenotch_workbench._virtual_system import Reply
from sycamorenotch_workbench._virtual_system import VirtualSystem


@pytest.mark.parametrize(
    "answer",
    [
        pytest.param(CallAnswer(200, (), b"whole", "d-other"), id="crossed"),
        pytest.param(CallAnswer(200, (), b"who", "", 5), id="cut short"),
    ],
)
def test_wrong_answer_is_refused_when_the_upstream_client_accepts_it(
    monkeypatch: pytest.MonkeyPatch, answer: CallAnswer
) -> None:
    async def send(self: UpstreamClient, *args: object) -> object:
        return Ok(answer)

    monkeypatch.setattr(UpstreamClient, "send", send)
    system = VirtualSystem(soak_document(), instances=1)
    system.wait(_request_health(system))
    reply = system.call("entry-west-a", "GET", "/v1/call/lookup/urgent/1")
    system.close()
    assert (reply.status, reply.json()["kind"]) == (500, "invariant")
    assert reply.ran == "unknown"
    names = {entry.event.name for entry in system.recorded_events}
    assert "invariant.violated" in names


async def _request_health(system: VirtualSystem) -> Reply:
    return await system.request("entry-west-a", "GET", "/healthz")
