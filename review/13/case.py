"""One worker crashes while it runs requests that many clients send alike."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import stand3
from stand3 import BROKEN
from stand3 import HOLDS
from stand3 import TROUBLE

FIRST, LATE = "/first/rates", "/late/rates"
DEADLINE_MS = 4_000
# Requests a second on the late route and the first one, as in the site file.
LATE_PER_S, FIRST_PER_S = 10.0, 10.0
WORK_S = 0.88
GATEWAYS = 8
WORKERS = {"ledger-view": 16, "issue-desk": 12}
DOWN_S = 4.5
CRASHED = 1
# From when the time after the crash is steady: the worker is back for the stability
# window of the pages, and more.
STEADY_AFTER_S = 10.0
STEADY_S = 15.0


class CrashingWorker(stand3.Worker):
    """A worker whose process can be lost with all its connections."""

    def __init__(self, *args) -> None:
        super().__init__(*args)
        self.writers: set = set()

    async def _serve(self, reader, writer) -> None:
        self.writers.add(writer)
        try:
            await super()._serve(reader, writer)
        finally:
            self.writers.discard(writer)

    async def crash(self, down_s: float) -> None:
        self.record.add(f"worker {self.name}: crashes with {self.running} running")
        self.server.close()
        for writer in tuple(self.writers):
            writer.transport.abort()
        await asyncio.sleep(down_s)
        await self.start()
        self.record.add(f"worker {self.name}: is back")


class Clients:
    """Send requests for one path at a steady rate, each on a new connection.

    A client that is refused waits as it is told, for up to a third of the time that it
    has left, and sends once more with a new id.
    """

    def __init__(self, case: stand3.Case, path: str, per_s: float) -> None:
        self.case, self.path, self.per_s = case, path, per_s
        self.name = path.strip("/").replace("/", "-")
        # Time and outcome of each attempt.
        self.outcomes: list[tuple[float, str]] = []

    async def run(self, until: float) -> None:
        running = []
        number = 0
        while time.monotonic() < until:
            number += 1
            gateway = self.case.gateways[number % GATEWAYS]
            running.append(asyncio.create_task(self._request(gateway, number)))
            await asyncio.sleep(1.0 / self.per_s)
        await asyncio.gather(*running)

    async def _request(self, gateway, number: int) -> None:
        ends_at = time.monotonic() + DEADLINE_MS / 1000
        for attempt in range(2):
            name = f"{self.name}-{number}-{attempt}"
            sent_at = time.monotonic()
            outcome, retry_after_s = await self._send(gateway, name, ends_at - sent_at)
            self.outcomes.append((sent_at, outcome))
            self.case.record.add(f"client: {name} gets {outcome} from {gateway.name}")
            if outcome == "200":
                return
            left_s = ends_at - time.monotonic()
            await asyncio.sleep(max(0.0, min(retry_after_s, left_s / 3)))

    async def _send(self, gateway, name: str, left_s: float) -> tuple[str, float]:
        try:
            reader, writer = await asyncio.open_connection(
                gateway.ip, gateway.ports["frontend"]
            )
            try:
                more = f"X-Affinity-Key: {self.name}\r\n"
                left_ms = int(left_s * 1000)
                writer.write(stand3.request(name, self.path, left_ms, more=more))
                status, headers, _ = await asyncio.wait_for(
                    stand3.read_response(reader), left_s
                )
            finally:
                writer.close()
        except (OSError, EOFError, asyncio.TimeoutError) as exc:
            return type(exc).__name__, 0.1
        return str(status), float(headers.get("retry-after", "0.1"))


async def main(case: stand3.Case) -> int:
    zones = tuple(stand3.ZONES)
    for service, count in WORKERS.items():
        for number in range(count):
            name, zone = f"{service}-{number}", zones[number % len(zones)]
            worker = CrashingWorker(case.record, name, service, zone, 5)
            worker.work_s = WORK_S
            await worker.start()
            case.workers.append(worker)
            case.store.put("servers", worker.name, worker.entry())
    services = [stand3.service("ledger-view"), stand3.service("issue-desk")]
    first = stand3.route("first", "/first/", "issue-desk")
    late = stand3.route("late", "/late/", "ledger-view", sticky_sessions=True)
    case.store.put(
        "config", "main", stand3.configuration(3, first, *services, stand3.limits())
    )
    gateways = [await case.add_gateway(f"frontend-{n}") for n in range(GATEWAYS)]
    for gateway in gateways:
        await gateway.wait_ready()
    case.store.put(
        "config",
        "main",
        stand3.configuration(8, first, late, *services, stand3.limits()),
    )
    await asyncio.sleep(6.0)
    began = time.monotonic()
    crash_at = began + 6.0
    steady_from = crash_at + DOWN_S + STEADY_AFTER_S
    until = steady_from + STEADY_S
    clients = {
        FIRST: Clients(case, FIRST, FIRST_PER_S),
        LATE: Clients(case, LATE, LATE_PER_S),
    }
    running = [asyncio.create_task(c.run(until)) for c in clients.values()]
    await asyncio.sleep(crash_at - time.monotonic())
    if TROUBLE:
        candidates = [w for w in case.workers if w.service == "ledger-view"]
        busiest = sorted(candidates, key=lambda worker: -worker.running)[:CRASHED]
        await asyncio.gather(*(worker.crash(DOWN_S) for worker in busiest))
    await asyncio.gather(*running)

    def share(path: str, since: float, end: float) -> tuple[int, float]:
        outcomes = [
            outcome
            for sent_at, outcome in clients[path].outcomes
            if since <= sent_at < end
        ]
        served = sum(outcome == "200" for outcome in outcomes)
        return len(outcomes), served / max(1, len(outcomes))

    for label, since, end in (
        ("before", began, crash_at),
        ("steady", steady_from, until),
    ):
        for path in (FIRST, LATE):
            sent, served = share(path, since, end)
            case.record.add(f"{label}: {path}: {sent} sent, {served:.3f} served")
    _, first_served = share(FIRST, steady_from, until)
    sent, late_served = share(LATE, steady_from, until)
    if first_served < 0.5 or sent < 20:
        raise stand3.CannotRun("too few requests in the steady time")
    return BROKEN if late_served < first_served / 4 else HOLDS


if __name__ == "__main__":
    stand3.run(str(Path(__file__).parent), main)
