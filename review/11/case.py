"""A large configuration is changed in quick succession, again and again."""

from __future__ import annotations

import asyncio
import json
import random
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
# Routes beside the one that is used; the object stays below `value_bytes`.
ROUTES = 2_100
MAX_OBJECT_BYTES = 1_048_576
# A change each GAP_S for STORM_S, then a pause.
GAP_S, STORM_S, PAUSE_S = 0.33, 4.0, 1.0
RUN_S = 85.0
CLIENTS = 24
DEADLINE_S = 4.0
WORK_S = 0.3
# The platform kills a process that exceeds the memory of the settings.
MEMORY_BYTES = 300 * 1024 * 1024
RESTART_S = 0.5


def configuration_bytes(version: int) -> bytes:
    """Return a version in which one route has another timeout."""
    changed = version % ROUTES
    routes = [
        stand3.route(
            f"r-{number}",
            f"/x{number}/",
            SERVICE,
            "unsafe",
            timeout="3s" if number == changed else "2s",
        )
        for number in range(ROUTES)
    ]
    value = stand3.configuration(
        version,
        stand3.route("look", PATH, SERVICE),
        *routes,
        stand3.service(SERVICE),
        stand3.limits(),
    )
    return json.dumps(value, separators=(",", ":")).encode()


class Platform:
    """Watches the memory of the gateways, and starts again what has ended."""

    def __init__(self, case: stand3.Case) -> None:
        self.case = case
        self.kills = 0
        self.highest = 0

    async def run(self, until: float) -> None:
        reported = 0.0
        while time.monotonic() < until:
            sizes = [self._resident_bytes(gateway) for gateway in self.case.gateways]
            self.highest = max(self.highest, *sizes)
            if time.monotonic() - reported >= 5.0:
                reported = time.monotonic()
                text = ", ".join(f"{size / 1e6:.0f}" for size in sizes)
                self.case.record.add(f"platform: resident memory {text} MB")
            for gateway, size in zip(self.case.gateways, sizes, strict=True):
                if size > MEMORY_BYTES:
                    self.kills += 1
                    self.case.record.add(
                        f"platform: kills {gateway.name}, {size / 1e6:.0f} MB"
                    )
                    gateway.process.kill()
                    await gateway.process.wait()
                    await asyncio.sleep(RESTART_S)
                    await gateway.start()
            await asyncio.sleep(0.05)

    def _resident_bytes(self, gateway) -> int:
        try:
            text = Path(f"/proc/{gateway.process.pid}/status").read_text()
        except OSError:
            return 0
        lines = [line for line in text.splitlines() if line.startswith("VmRSS:")]
        return int(lines[0].split()[1]) * 1024 if lines else 0


class Client:
    """Sends one safe request after the other on a connection that it keeps."""

    def __init__(self, case: stand3.Case, gateway, number: int) -> None:
        self.case, self.gateway, self.number = case, gateway, number
        self.answered = 0
        # Requests on kept connections that ended without an answer.
        self.cut: list[str] = []

    async def run(self, until: float) -> None:
        count = 0
        # Clients in step would all be between two requests at the same time.
        await asyncio.sleep(self.number * (WORK_S + 0.1) / CLIENTS)
        while time.monotonic() < until:
            try:
                reader, writer = await asyncio.open_connection(
                    self.gateway.ip, self.gateway.ports["frontend"]
                )
            except OSError:
                await asyncio.sleep(0.2)
                continue
            kept = False
            try:
                while time.monotonic() < until:
                    count += 1
                    name = f"{self.gateway.name}-{self.number}-{count}"
                    ms = int(DEADLINE_S * 1000)
                    writer.write(stand3.request(name, f"{PATH}{name}", ms))
                    status, headers, _ = await asyncio.wait_for(
                        stand3.read_response(reader), DEADLINE_S
                    )
                    self.answered += status == 200
                    kept = True
                    if headers.get("connection") == "close":
                        break
                    await asyncio.sleep(random.uniform(0.05, 0.15))
            except (OSError, EOFError):
                if kept:
                    self.cut.append(name)
                self.case.record.add(f"client: {name}: the connection ended")
            except asyncio.TimeoutError:
                self.case.record.add(f"client: {name}: no answer in time")
            finally:
                writer.close()


async def change_configuration(case: stand3.Case, until: float) -> None:
    version = 10
    while time.monotonic() < until:
        storm_ends = time.monotonic() + STORM_S
        while time.monotonic() < min(storm_ends, until):
            version += 3
            started = time.monotonic()
            raw = configuration_bytes(version)
            case.store.put("config", "main", raw, f"(version {version})")
            spent = time.monotonic() - started
            await asyncio.sleep(max(0.0, GAP_S - spent))
        await asyncio.sleep(PAUSE_S)


async def main(case: stand3.Case) -> int:
    zones = tuple(stand3.ZONES)
    for number in range(6):
        zone = zones[number % len(zones)]
        await case.add_worker(f"w-{number}", SERVICE, zone, work_s=WORK_S)
    raw = configuration_bytes(10)
    assert len(raw) < MAX_OBJECT_BYTES - 1_000
    case.store.put("config", "main", raw, f"({len(raw)} bytes)")
    gateways = [await case.add_gateway(f"frontend-{n}") for n in range(GATEWAYS)]
    for gateway in gateways:
        await gateway.wait_ready()
    await asyncio.sleep(5.0)
    until = time.monotonic() + RUN_S
    platform = Platform(case)
    clients = [Client(case, gateways[n % GATEWAYS], n) for n in range(CLIENTS)]
    running = [asyncio.create_task(client.run(until)) for client in clients]
    running.append(asyncio.create_task(platform.run(until)))
    if TROUBLE:
        running.append(asyncio.create_task(change_configuration(case, until)))
    await asyncio.gather(*running)
    ran = {name for worker in case.workers for name in worker.runs}
    lost = [name for client in clients for name in client.cut if name in ran]
    case.record.add(
        f"{sum(client.answered for client in clients)} answered; highest memory"
        f" {platform.highest / 1e6:.0f} MB; {platform.kills} processes killed for their"
        f" memory; {len(lost)} requests passed on and cut: {', '.join(lost)}"
    )
    return BROKEN if len(lost) > 3 else HOLDS


if __name__ == "__main__":
    stand3.run(str(Path(__file__).parent), main)
