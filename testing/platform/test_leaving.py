"""Tests of workers that are about to stop."""

from __future__ import annotations

import pytest
from testing.platform.conftest import configuration
from twisted.internet import reactor
from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater

from sycamorenotch_transport import get_header

# The users' bounds: what an instance has to know in time counts from the
# acknowledgement of the store, once that has been stable for so long.
STABILITY_WINDOW_S = 4.0
DRAIN_S = 2.5
# Longer than the pause of a follower between two watches.
SILENCE_S = 1.5
AT_ONCE_S = 0.25


@pytest.mark.parametrize("mode", ["run", "fail", "shed"])
def test_answer_that_says_that_its_worker_leaves_is_logged_once(
    run_on_site, mode
) -> None:
    async def scenario(site) -> None:
        (worker,) = site.workers
        worker.leaving, worker.mode = True, mode
        await site.call()
        (event,) = site.events("worker.leaving")
        assert event.worker == worker.name

    run_on_site(scenario, count=1)


def test_metrics_tell_the_age_of_each_topic(run_on_site) -> None:
    async def scenario(site) -> None:
        page = (await site.fetch("metrics", "/metrics")).body.decode()
        ages = [line for line in page.splitlines() if "topic_age_seconds{" in line]
        topics = {line.partition('topic="')[2].partition('"')[0] for line in ages}
        assert topics == {"configuration", "evacuations", "workers"}

    run_on_site(scenario)


# A watch that was sent while the store did not answer was waited for as if nothing had
# changed, so that workers that left later still got requests.
def test_changes_are_known_in_time_after_a_silence_of_the_store(run_on_site) -> None:
    async def scenario(site) -> None:
        await site.call()
        (first,) = [worker for worker in site.workers if worker.ran]
        # After a change of its topic, a follower sends the next watch.
        site.store.put("servers", first.name, first.entry)
        site.store.put("config", "main", configuration(2))
        site.store.put("evacuations", "b", {})
        await site.wait_until(lambda: site.events("evacuation.changed"))
        await site.wait_until(lambda: len(site.events("configuration.applied")) == 2)
        site.store.silent = True
        await deferLater(reactor, SILENCE_S, lambda: None)
        site.store.silent = False
        await deferLater(reactor, STABILITY_WINDOW_S, lambda: None)
        first.state = "draining"
        site.store.put("servers", first.name, first.entry)
        site.store.put("config", "main", configuration(3))
        site.store.remove("evacuations", "b")
        await deferLater(reactor, DRAIN_S, lambda: None)
        await site.call()
        assert first.ran == ["t1"]
        assert len(site.events("configuration.applied")) == 3
        assert len(site.events("evacuation.changed")) == 2

    run_on_site(scenario)


# A worker says in its answers that it is about to stop, before or without the store.
def test_worker_that_says_that_it_leaves_gets_no_more_requests(run_on_site) -> None:
    async def scenario(site) -> None:
        first = await leave(site)
        assert (await site.call()).status == 200
        assert first.ran == ["t1"]

    run_on_site(scenario)


def entry_is_written_again(site, worker) -> None:
    worker.slots += 1
    site.store.put("servers", worker.name, worker.entry)


def entry_expires_and_comes_back(site, worker) -> None:
    site.store.remove("servers", worker.name)
    site.store.put("servers", worker.name, worker.entry)


def entry_is_unreadable_for_a_moment(site, worker) -> None:
    site.store.put("servers", worker.name, {"service": 5})
    site.store.put("servers", worker.name, worker.entry)


# The entry of a worker that said it leaves is `ready` for a while, or for good when the
# store does not hear of it. Read again, it made the worker usable.
@pytest.mark.parametrize(
    "change",
    [
        entry_is_written_again,
        entry_expires_and_comes_back,
        entry_is_unreadable_for_a_moment,
    ],
)
def test_entry_does_not_undo_that_its_worker_leaves(run_on_site, change) -> None:
    async def scenario(site) -> None:
        first = await leave(site)
        change(site, first)
        last = site.store.objects["servers", first.name]["metadata"]["revision"]
        await site.wait_until(
            lambda: any(e.revision == last for e in site.events("worker.changed"))
        )
        assert (await site.call()).status == 200
        assert first.ran == ["t1"]

    run_on_site(scenario)


def test_worker_that_left_and_started_again_gets_requests(run_on_site) -> None:
    async def scenario(site) -> None:
        first = await leave(site)
        first.leaving, first.born = False, first.born + 1
        site.store.put("servers", first.name, first.entry)
        await site.wait_until(
            lambda: first.name in [e.worker for e in site.events("worker.changed")[2:]]
        )
        await site.call()
        assert first.ran == ["t1", "t2"]

    run_on_site(scenario)


# Nothing is kept waiting for workers that take no more requests.
def test_request_is_refused_at_once_when_all_workers_leave(run_on_site) -> None:
    async def scenario(site) -> None:
        await leave(site)
        started_at = reactor.seconds()
        answer = await site.call()
        assert answer.status == 503
        assert get_header(answer.headers, "retry-after")
        assert reactor.seconds() - started_at < AT_ONCE_S

    run_on_site(scenario, count=1)


async def leave(site):
    """Let the worker that serves the first request say that it leaves; return it."""
    for worker in site.workers:
        worker.leaving = True
    await site.call()
    (first,) = [worker for worker in site.workers if worker.ran]
    for worker in site.workers:
        worker.leaving = worker is first
    return first


def test_answer_is_not_logged_when_the_entry_said_so_before(run_on_site) -> None:
    async def scenario(site) -> None:
        (worker,) = site.workers
        worker.mode, worker.delay_s, worker.leaving = "slow", 0.5, True
        answer = Deferred.fromCoroutine(site.call())
        await site.wait_until(lambda: worker.requests)
        worker.state = "draining"
        site.store.put("servers", worker.name, worker.entry)
        assert (await answer).status == 200
        assert site.events("worker.changed")[-1].draining
        assert site.events("worker.leaving") == []

    run_on_site(scenario, count=1)
