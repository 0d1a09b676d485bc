"""Tests that the logs of a gateway tell why its requests failed."""

from __future__ import annotations

import json
from random import Random

from sycamorenotch_cli._log_parser import parse_lines
from sycamorenotch_cli._request_trace import describe_cause
from sycamorenotch_cli._request_trace import trace_request

SEED = 20
REQUESTS = 60
DRAWN = 20
# The target of the users' engineers: causes of 19 in 20 failed requests.
EXPLAINED = 19
PATHS = ("/safe/1", "/once/1", "/load/1")
# What the cause of a failed request says by what its workers did.
CAUSES = {
    "shed": ("refused to run it",),
    "cut": ("was lost and may have run it", "has crashed several workers"),
    "silent": ("No worker answered within",),
    "fail": ("answered with status 500",),
    "empty": ("had no room",),
    "no route": ("has no route",),
}
# What an earlier failure of the workers may still do to a request.
AFTERMATH = ("pause after failures",)


def test_logs_tell_the_cause_of_nineteen_in_twenty_failed_requests(on_site) -> None:
    random = Random(SEED)
    failed: list[tuple[str, str]] = []

    async def one(site) -> None:
        trouble = random.choice(sorted(CAUSES))
        for worker in site.workers:
            worker.mode = trouble if trouble in ("shed", "cut", "silent") else "run"
            worker.mode = "fail" if trouble == "fail" else worker.mode
        if trouble == "empty":
            site.store.put("evacuations", "a", {})
            await site.until(lambda: site.events("evacuation.changed"))
        path = "/none/1" if trouble == "no route" else random.choice(PATHS)
        answer = await site.call(path, key=str(site.sent), patience="500")
        if answer.status != 200:
            failed.append((f"t{site.sent}", trouble))
        if trouble == "empty":
            site.store.remove("evacuations", "a")
            await site.until(
                lambda: not site.events("evacuation.changed")[-1].data_centres
            )
            site.sink.events[:] = [
                e for e in site.sink.events if e.name != "evacuation.changed"
            ]

    async def scenario(site) -> None:
        for _ in range(REQUESTS):
            await one(site)
        lines = tuple(parse_lines(_line(n, e) for n, e in enumerate(site.sink.events)))
        drawn = random.sample(failed, DRAWN)
        causes = [
            (describe_cause(trace_request(lines, name)), trouble)
            for name, trouble in drawn
        ]
        told = [
            any(words in cause for words in (*CAUSES[trouble], *AFTERMATH))
            for cause, trouble in causes
        ]
        assert sum(told) >= EXPLAINED, causes

    on_site(scenario)


def _line(at: int, event) -> str:
    common = {"timestamp": float(at), "message_type": event.name, "instance": "me"}
    return json.dumps({**common, **event.fields()})
