"""Scripts of the golden sessions."""

from __future__ import annotations

from datetime import timedelta

from sycamorenotch_workbench._golden_record import GoldenSession
from sycamorenotch_workbench._golden_record import golden_sessions
from sycamorenotch_workbench._soak_document import soak_document

WEST = "entry-west-a"
EAST = "entry-east-a"
NORTH = "entry-north-a"
SECOND = timedelta(seconds=1)
FLOOD_HEADERS = {"Request-Timeout": "0.15"}


def _lookup(rank: str, number: int) -> str:
    return f"/v1/call/lookup/{rank}/{number}"


@golden_sessions.register("calm-morning")
def calm_morning(session: GoldenSession) -> None:
    """Look up, call in every rank, and repeat a redemption with the same key."""
    session.send(WEST, "GET", "/v1/lookup?service=lookup&client=10.2.0.7")
    session.advance(SECOND)
    for rank in ("urgent", "standard", "deferrable"):
        session.send(WEST, "GET", _lookup(rank, 1))
    session.advance(SECOND)
    session.redeem(WEST, "k1")
    session.redeem(EAST, "k1")
    session.advance(SECOND)
    session.redeem(NORTH, "k1")


@golden_sessions.register("region-loss")
def region_loss(session: GoldenSession) -> None:
    """Kill the workers and the instance of one region."""
    session.spread(
        6, 3 * SECOND, lambda n: session.send(EAST, "GET", _lookup("urgent", n))
    )
    session.note("the region east is lost")
    session.system.kill(EAST)
    for name, host in session.system.worker_hosts.items():
        if "east" in name:
            host.kill()
    session.spread(
        8,
        16 * SECOND,
        lambda n: session.send(
            WEST, "GET", "/v1/lookup?service=lookup&client=10.2.0.7"
        ),
    )
    session.send(WEST, "GET", _lookup("urgent", 9))


def _flood(session: GoldenSession, flooding: str, other: str) -> None:
    def send(number: int) -> None:
        session.send(WEST, "GET", _lookup(flooding, number), FLOOD_HEADERS)
        if number % 5 == 0:
            session.send(WEST, "GET", _lookup(other, number))

    session.spread(120, timedelta(milliseconds=12), send)


@golden_sessions.register("deferrable-flood")
def deferrable_flood(session: GoldenSession) -> None:
    """Overload with deferrable requests while urgent requests arrive."""
    _flood(session, "deferrable", "urgent")


@golden_sessions.register("urgent-flood")
def urgent_flood(session: GoldenSession) -> None:
    """Overload with urgent requests while deferrable requests arrive."""
    _flood(session, "urgent", "deferrable")


@golden_sessions.register("planned-drain")
def planned_drain(session: GoldenSession) -> None:
    """Drain a data centre that serves requests, then undo the drain."""
    path = "/v1/drains/production/data-centre/east-a"
    session.operate(WEST, "PUT", path, {"Author": "first-operator"})
    session.spread(
        6, 6 * SECOND, lambda n: session.send(EAST, "GET", _lookup("standard", n))
    )
    session.operate(WEST, "DELETE", path, {"Author": "first-operator"})
    session.advance(3 * SECOND)
    session.send(EAST, "GET", _lookup("standard", 9))


@golden_sessions.register("store-outage")
def store_outage(session: GoldenSession) -> None:
    """Redeem before, during and after a store outage."""
    session.redeem(WEST, "before")
    session.advance(SECOND)
    session.note("the store is down")
    session.system.store.fault.set("down", 0.0, None)
    session.redeem(WEST, "during")
    session.redeem(EAST, "before")
    session.send(WEST, "GET", _lookup("urgent", 1))
    session.advance(20 * SECOND)
    session.note("the store is back")
    session.system.store.fault.set("none", 0.0, None)
    session.advance(20 * SECOND)
    session.redeem(WEST, "during")


@golden_sessions.register("promotion-race")
def promotion_race(session: GoldenSession) -> None:
    """Let two operators change the same document concurrently."""
    for instance, author, cap in ((WEST, "first", "10%"), (EAST, "second", "30%")):
        body = soak_document().replace("cap = 20%", f"cap = {cap}").encode()
        headers = {"Author": author, "If-Match": '"1"'}
        session.operate(instance, "PUT", "/v1/documents/production", headers, body)
    session.advance(4 * SECOND)
    session.operate(NORTH, "GET", "/v1/documents/production/history")


@golden_sessions.register("poison-request")
def poison_request(session: GoldenSession) -> None:
    """Send a request that crashes every worker that runs it."""
    for worker in session.system.workers.values():
        worker.fault.set("crash", 0.0, None, path="/urgent/666")
    session.spread(
        6, 6 * SECOND, lambda n: session.send(WEST, "GET", _lookup("urgent", 666))
    )
    session.send(EAST, "GET", _lookup("urgent", 666))
    session.send(WEST, "GET", _lookup("urgent", 1))
