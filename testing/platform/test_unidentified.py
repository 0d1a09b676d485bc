"""Tests that a late copy of an answer without an identifier proves nothing."""

from __future__ import annotations

from testing.platform.raw_worker import RawWorker
from testing.platform.raw_worker import answer

from sycamorenotch_gateway._workers import Workers

SHED = b"HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"


async def add_worker(site, respond, name: str = "i-raw", **kwargs) -> RawWorker:
    worker = RawWorker(name, respond, **kwargs)
    site.store.put("servers", worker.name, worker.entry)
    directory = site.gateway.node.require(Workers).directory
    await site.wait_until(lambda: directory.get(worker.name) is not None)
    return worker


# The copy was taken for the promise that the next request had not run; see review/2.
def test_late_copy_of_a_refusal_is_not_taken_for_the_next_answer(run_on_site) -> None:
    async def scenario(site) -> None:
        last = b""

        def respond(attempt: str, number: int) -> bytes:
            nonlocal last
            copy, last = last if number else b"", b""
            if len(worker.ran) % 2:
                last = SHED
                return copy + SHED
            return copy + answer(attempt)

        worker = await add_worker(site, respond)
        statuses = [(await site.call("/once/1")).status for _ in range(10)]
        await worker.port.stopListening()
        assert statuses == [503, 200] * 5
        # The cost of the rule: one more connection for each such refusal.
        assert worker.opened == 1 + 5

    run_on_site(scenario, count=0)


# Without an identifier in the request, no answer could be told from a late copy.
def test_request_without_an_identifier_gets_a_connection_of_its_own(
    run_on_site,
) -> None:
    async def scenario(site) -> None:
        answers: list[bytes] = []

        def respond(attempt: str, number: int) -> bytes:
            answers.append(answer(attempt, body=str(len(answers))))
            return answers[-2] + answers[-1] if number else answers[-1]

        worker = await add_worker(site, respond)
        first = await site.call("/once/1")
        original = site.request
        site.request = lambda *args, **kwargs: without_id(original(*args, **kwargs))
        second = await site.call("/once/1")
        await worker.port.stopListening()
        assert (first.body, second.body) == (b"0", b"1")
        assert worker.opened == 2

    run_on_site(scenario, count=0)


def without_id(request):
    pairs = tuple(p for p in request.headers if p[0] != "X-Attempt-Id")
    return type(request)(request.method, request.target, pairs, request.body)
