"""Another writer's entry among the servers cannot be read, and is written again at times."""

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

PATH, SERVICE = "/look/", "ledger-view"
GATEWAYS = 2
PER_S = 20.0
DEADLINE_S, TIMEOUT_S = 4.0, 1.5
QUIET_S, TROUBLED_S = 5.0, 20.0
# Workers write their entries at this interval.
HEARTBEAT_S = 1.5
# The store takes objects of 1,048,576 bytes at most (`value_bytes`).
ENTRY_BYTES = 1_048_000
# Time after which an answer at the route's timeout is late.
LATE_S = 0.5


def unreadable_entry(number: int) -> bytes:
    """Return a list of a text that is no UTF-8 and of empty lists."""
    text = f'"{number} '.encode() + b'\xff"'
    return b"[" + text + b",[]" * ((ENTRY_BYTES - len(text)) // 3) + b"]"


class Callers:
    """Send safe requests at a steady rate, each on a new connection."""

    def __init__(self, case: stand3.Case) -> None:
        self.case = case
        # Time at which each was sent, its outcome, and how long it took.
        self.outcomes: list[tuple[float, str, float]] = []

    async def run(self, until: float) -> None:
        running, number = [], 0
        while time.monotonic() < until:
            number += 1
            gateway = self.case.gateways[number % GATEWAYS]
            running.append(asyncio.create_task(self._request(gateway, number)))
            await asyncio.sleep(1.0 / PER_S)
        await asyncio.gather(*running)

    async def _request(self, gateway, number: int) -> None:
        sent_at = time.monotonic()
        outcome = await self._send(gateway, f"look-{number}")
        taken_s = time.monotonic() - sent_at
        self.outcomes.append((sent_at, outcome, taken_s))
        text = f"look-{number} gets {outcome} from {gateway.name} after {taken_s:.2f} s"
        self.case.record.add(f"caller: {text}")

    async def _send(self, gateway, name: str) -> str:
        async def exchange() -> str:
            reader, writer = await asyncio.open_connection(
                gateway.ip, gateway.ports["frontend"]
            )
            try:
                ms = int(DEADLINE_S * 1000)
                writer.write(stand3.request(name, f"{PATH}{name}", ms))
                status, _, _ = await stand3.read_response(reader)
            finally:
                writer.close()
            return str(status)

        try:
            return await asyncio.wait_for(exchange(), DEADLINE_S)
        except (OSError, EOFError, asyncio.TimeoutError) as exc:
            return type(exc).__name__


async def write_entries(case: stand3.Case, until: float) -> None:
    """Write the foreign entry again and again; without trouble it is a short one."""
    number = 0
    while time.monotonic() < until:
        number += 1
        entry = unreadable_entry(number) if TROUBLE else f'["{number}",[]]'.encode()
        case.store.put("servers", "foreign", entry, f"({len(entry)} bytes)")
        await asyncio.sleep(HEARTBEAT_S)


async def main(case: stand3.Case) -> int:
    zones = tuple(stand3.ZONES)
    for number in range(6):
        zone = zones[number % len(zones)]
        await case.add_worker(f"w-{number}", SERVICE, zone, work_s=0.2)
    look = stand3.route("look", PATH, SERVICE, timeout=f"{TIMEOUT_S}s")
    case.store.put(
        "config",
        "main",
        stand3.configuration(3, look, stand3.service(SERVICE), stand3.limits()),
    )
    gateways = [await case.add_gateway(f"frontend-{n}") for n in range(GATEWAYS)]
    for gateway in gateways:
        await gateway.wait_ready()
    await asyncio.sleep(6.0)
    began = time.monotonic()
    troubled_from = began + QUIET_S
    until = troubled_from + TROUBLED_S
    callers = Callers(case)
    running = [asyncio.create_task(callers.run(until))]
    await asyncio.sleep(QUIET_S)
    running.append(asyncio.create_task(write_entries(case, until)))
    await asyncio.gather(*running)
    broken = False
    for label, since, end in (
        ("before", began, troubled_from),
        ("with foreign entries", troubled_from, until),
    ):
        found = [o for o in callers.outcomes if since <= o[0] < end]
        served = sum(outcome == "200" for _, outcome, _ in found)
        due = sum(taken_s > TIMEOUT_S for _, _, taken_s in found)
        late = sum(taken_s > TIMEOUT_S + LATE_S for _, _, taken_s in found)
        case.record.add(
            f"{label}: {len(found)} sent, {served} served, {due} unanswered at the"
            f" route's timeout, {late} of these {LATE_S} s later"
        )
        broken = due >= 20 and late > due / 2
    return BROKEN if broken else HOLDS


if __name__ == "__main__":
    stand3.run(str(Path(__file__).parent), main)
