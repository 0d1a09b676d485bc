"""Tests that the cause of a failed request can be found in a gateway's log."""

from __future__ import annotations

import json
from random import Random

from sycamorenotch_cli._log_parser import parse_lines
from sycamorenotch_cli._request_trace import describe_cause
from sycamorenotch_cli._request_trace import trace_request

SEED = 20
REQUESTS = 60
SAMPLED = 20
# Required by the users: the cause of 19 in 20 failed requests.
MIN_EXPLAINED = 19
PATHS = ("/safe/1", "/once/1", "/load/1")
# Text expected in the cause of a failed request, by the injected fault.
CAUSES = {
    "shed": ("refused to run the request",),
    "cut": ("was lost and may have run the request", "has crashed several workers"),
    "silent": ("No worker answered within",),
    "fail": ("answered with status 500",),
    "empty": ("had no free capacity",),
    "no route": ("has no route",),
}
# A worker may still be paused after the fault of an earlier request.
LATER_EFFECTS = ("pause after failures",)


def test_log_explains_nineteen_in_twenty_failed_requests(run_on_site) -> None:
    random = Random(SEED)
    failed: list[tuple[str, str]] = []

    async def send_one_request(site) -> None:
        fault = random.choice(sorted(CAUSES))
        for worker in site.workers:
            worker.mode = fault if fault in ("shed", "cut", "silent") else "run"
            worker.mode = "fail" if fault == "fail" else worker.mode
        if fault == "empty":
            site.store.put("evacuations", "a", {})
            await site.wait_until(lambda: site.events("evacuation.changed"))
        path = "/none/1" if fault == "no route" else random.choice(PATHS)
        answer = await site.call(path, key=str(site.sent), patience="500")
        if answer.status != 200:
            failed.append((f"t{site.sent}", fault))
        if fault == "empty":
            site.store.remove("evacuations", "a")
            await site.wait_until(
                lambda: not site.events("evacuation.changed")[-1].data_centres
            )
            site.sink.events[:] = [
                e for e in site.sink.events if e.name != "evacuation.changed"
            ]

    async def scenario(site) -> None:
        for _ in range(REQUESTS):
            await send_one_request(site)
        lines = tuple(parse_lines(_line(n, e) for n, e in enumerate(site.sink.events)))
        sampled = random.sample(failed, SAMPLED)
        causes = [
            (describe_cause(trace_request(lines, name)), fault)
            for name, fault in sampled
        ]
        explained = [
            any(words in cause for words in (*CAUSES[fault], *LATER_EFFECTS))
            for cause, fault in causes
        ]
        assert sum(explained) >= MIN_EXPLAINED, causes

    run_on_site(scenario)


def _line(at: int, event) -> str:
    common = {"timestamp": float(at), "message_type": event.name, "instance": "me"}
    return json.dumps({**common, **event.fields()})
