"""Counts the store calls per protected request.

Run with ``python -m sycamorenotch_workbench.claim_costs``.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from pathlib import Path
from random import Random
from typing import Any
from typing import final

from expression import Error
from expression import Ok
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from sycamorenotch_daemon import Node
from sycamorenotch_daemon._claim_settler import ClaimSettler
from sycamorenotch_daemon._claim_stage import ClaimStage
from sycamorenotch_daemon._clock import ReactorClock
from sycamorenotch_daemon._node import ServedConfiguration
from sycamorenotch_daemon._store_guard import StoreGuard
from sycamorenotch_documents import parse_environment
from sycamorenotch_documents import parse_settings
from sycamorenotch_kernel import Call
from sycamorenotch_kernel import CallAnswer
from sycamorenotch_kernel import CallResult
from sycamorenotch_kernel import ErrorKind
from sycamorenotch_kernel import EventList
from sycamorenotch_kernel import Failure
from sycamorenotch_kernel import InvariantMonitor
from sycamorenotch_kernel import RecentDecisions
from sycamorenotch_kernel import load_plugins
from sycamorenotch_standins import MemoryStore
from sycamorenotch_standins import ObjectTable

EXAMPLE = Path(__file__).parents[4] / "examples" / "vatukoula.ini"
WRITES_PER_SECOND = 300
ROUNDS = 100
SEED = 1
STEP_S = 0.01
WRITE_CALLS = ("create", "update", "delete")

SETTINGS = """\
[instance]
id = {name}
environment = production
region = viti-west
data_centre = nadi

[listen]
callers = 127.0.0.1:1
peers = 127.0.0.1:2

[store]
adapter = memory
calls_per_second = 1000000

[secrets]
operator_token_file = none
"""


@final
@dataclass(frozen=True, slots=True)
class ClaimCost:
    """Store calls per round of one scenario.

    :param scenario: name of the scenario.
    :param calls: mean number of calls per round, by kind.
    """

    scenario: str
    calls: dict[str, float]

    @property
    def writes(self) -> float:
        """Mean number of writes per round."""
        return sum(self.calls.get(kind, 0.0) for kind in WRITE_CALLS)


@final
class Measurement:
    """Two instances that share one store under a virtual clock."""

    def __init__(self) -> None:
        self.clock = Clock()
        self._table = ObjectTable()
        self._text = EXAMPLE.read_text()
        self._environment = parse_environment(self._text)
        self.memory: list[MemoryStore] = []
        self.nodes = [self._build_node(name) for name in ("first", "second")]
        self._stages = [self._build_stage(node) for node in self.nodes]
        self.upstream_time_s = 0.02
        self.shed = False

    def send(self, instance: int, key: str) -> None:
        """Send a protected request.

        :param instance: index of the instance.
        :param key: idempotency key.
        """
        node = self.nodes[instance]
        route = next(r for r in self._environment.routes if not r.idempotent)
        call = Call(
            id=node.ids.decision(),
            route=route,
            method="POST",
            path=f"{route.prefix}/1",
            headers=(),
            body=b"",
            client="127.0.0.1",
            key=key,
            deadline=node.clock.monotonic() + timedelta(seconds=2),
            generation=1,
        )
        Deferred.fromCoroutine(self._stages[instance].run(call, self._proceed))

    def finish(self) -> None:
        """Advance the clock until all requests have ended."""
        self.clock.pump([STEP_S] * round(3 / STEP_S))

    def calls_made(self) -> Counter[str]:
        """Return the number of store calls of both instances by kind."""
        stores: list[Any] = [node.store for node in self.nodes]
        return sum((store.calls.made for store in stores), Counter())

    async def _proceed(self, call: Call) -> CallResult:
        done: Deferred[None] = Deferred()
        self.clock.callLater(self.upstream_time_s, done.callback, None)
        await done
        if self.shed:
            return Error(Failure(ErrorKind.UPSTREAM_SHED, "shed"))
        return Ok(CallAnswer(200, (), b"done"))

    def _build_node(self, name: str) -> Node:
        sink = EventList()
        clock = ReactorClock(self.clock)
        random = Random(SEED)
        memory = MemoryStore(self._table, self.clock)
        self.memory.append(memory)
        store = StoreGuard(memory, self.clock, clock, random, sink, 1e6)
        return Node(
            settings=parse_settings(SETTINGS.format(name=name)),
            reactor=self.clock,
            clock=clock,
            random=random,
            sink=sink,
            decisions=RecentDecisions(),
            invariants=InvariantMonitor(sink, strict=True),
            store=store,
            directory=store,
            token="",
        )

    def _build_stage(self, node: Node) -> ClaimStage:
        ClaimSettler(node)
        node.configuration.put(
            ServedConfiguration(self._environment, 1, "", self._text)
        )
        return ClaimStage(node)


def first_requests(measurement: Measurement, number: int) -> None:
    """Send a request with a new key."""
    measurement.send(0, f"key-{number}")


def repeats(measurement: Measurement, number: int) -> None:
    """Repeat a request whose answer is stored."""
    measurement.send(1, "key")


def requests_at_once(measurement: Measurement, number: int) -> None:
    """Send the same request through two instances concurrently."""
    measurement.send(0, f"key-{number}")
    measurement.send(1, f"key-{number}")


def shed_requests(measurement: Measurement, number: int) -> None:
    """Send a request that the upstream sheds without running it."""
    measurement.shed = True
    measurement.send(0, f"key-{number}")


def lost_creates(measurement: Measurement, number: int) -> None:
    """Send a request whose create call succeeds but loses its response."""
    measurement.memory[0].fault.set("lose_answers", 0, 1)
    measurement.send(0, f"key-{number}")


SCENARIOS: tuple[Callable[[Measurement, int], None], ...] = (
    first_requests,
    repeats,
    requests_at_once,
    shed_requests,
    lost_creates,
)


def measure(scenario: Callable[[Measurement, int], None]) -> ClaimCost:
    """Count the store calls of one scenario."""
    measurement = Measurement()
    if scenario is repeats:
        measurement.send(0, "key")
        measurement.finish()
    before = measurement.calls_made()
    for number in range(ROUNDS):
        scenario(measurement, number)
        measurement.finish()
    calls_made = measurement.calls_made() - before
    per_round = {kind: count / ROUNDS for kind, count in sorted(calls_made.items())}
    return ClaimCost(scenario.__name__.replace("_", " "), per_round)


def main() -> None:
    """Print the costs and the round rates that the store's write limit allows."""
    load_plugins()
    print(f"store calls per round, {ROUNDS} rounds, seed {SEED}")
    for cost in map(measure, SCENARIOS):
        calls = ", ".join(f"{kind} {count:.2f}" for kind, count in cost.calls.items())
        rate = WRITES_PER_SECOND / cost.writes
        print(
            f"{cost.scenario:18} {calls:40} {rate:6.0f} rounds/s"
            f" at {WRITES_PER_SECOND} writes/s"
        )


if __name__ == "__main__":
    main()
