"""Injects faults into gateways that run as separate processes.

The store, the workers and the callers are stand-ins in this process. Gateways
reach the store and the workers through proxies. The answers that callers receive
and the requests that workers run are checked against the guarantees of the system.
"""

from __future__ import annotations

import os
import signal
import sys
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from functools import partial
from pathlib import Path
from random import Random
from typing import Any

from absl import app
from absl import flags
from testing.platform.conftest import ROUTES
from testing.platform.conftest import SETTINGS
from testing.platform.conftest import configuration
from testing.platform.conftest import route
from testing.platform.crowds import CHUNKED
from testing.platform.crowds import ENDLESS
from testing.platform.crowds import GET
from testing.platform.crowds import TINY_CHUNK
from testing.platform.crowds import EndlessClient
from testing.platform.proxies import MODES
from testing.platform.proxies import Proxy
from testing.platform.standins import StandInStore
from testing.platform.standins import StandInWorker
from twisted.internet import reactor
from twisted.internet.defer import Deferred
from twisted.internet.defer import TimeoutError as DeferredTimeoutError
from twisted.internet.defer import gatherResults
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.protocol import Factory
from twisted.internet.protocol import ProcessProtocol
from twisted.internet.protocol import Protocol
from twisted.internet.task import deferLater

from sycamorenotch_kernel import load_plugins
from sycamorenotch_transport import ExchangeError
from sycamorenotch_transport import Http1Pool
from sycamorenotch_transport import HttpRequest
from sycamorenotch_transport import HttpResponse
from sycamorenotch_transport import get_header
from sycamorenotch_transport import install_literal_resolver
from sycamorenotch_workbench._example import free_ports

SEED = flags.DEFINE_integer("seed", 1, "Seed of the faults and requests.")
SECONDS = flags.DEFINE_float("seconds", 20.0, "Length of the time with faults.")
LOGS = flags.DEFINE_string("logs", "build/fault-soak", "Folder for the gateways' logs.")
GATEWAYS = flags.DEFINE_integer("gateways", 3, "Gateways, each a process.")

# What misbehaving clients send first, and what they then repeat.
MISBEHAVIOURS = {
    **ENDLESS,
    "tiny chunks": (CHUNKED, TINY_CHUNK),
    "requests ahead": (b"", GET),
}
MISBEHAVING_CLIENTS = 5
MISBEHAVIOUR_S = 2.0
WORKERS = 6
CALLERS = 12
OBJECT_KEYS = 12
MAX_ATTEMPTS = 2
# Every gateway must serve again within this time after the faults have ended.
MAX_RECOVERY_S = 15.0
RESTART_DELAY_S = 0.3
# Limits, in requests per second, that workers name after the faults; none for one that
# has ended. The users' rule: one and a half times the limit and five requests in four
# seconds, of gateways that were told half a second before.
RATE_LIMITS = ("", "0.5", "1", "3", "8")
LIMIT_PERIODS = 3
LIMIT_PERIOD_S = 5.0
WINDOW_S = 4.0
LEARNING_S = 0.5
WORKER_MODES = ("shed", "fail", "cut", "silent")
# The users' bounds: on requests to a worker that a gateway has heard to be leaving, on
# a new configuration, and the time after the faults from which the latter holds.
DRAIN_S = 2.5
CONFIGURATION_APPLY_S = 2.5
STABILITY_WINDOW_S = 4.0
LATE_ROUTE = "/late/"
KEY = "soak-key"
CUSTOMER = "acme"
# Requests that a client sends ahead, without the usual headers, and whose responses it
# does not read.
PIPELINED_REQUESTS = 60
# Entries of other writers that name no worker.
FOREIGN_ENTRIES = (None, [], {"service": 5}, {"service": "s", "address": "nowhere"})


class GatewayProcess(ProcessProtocol):
    """A gateway process that is restarted whenever it exits."""

    def __init__(self, soak: Soak, name: str, path: Path, log: Path) -> None:
        self._soak = soak
        self.name = name
        self._path = path
        self._log = log.open("wb")
        self.process: Any = None
        self.paused = False

    def start(self) -> None:
        if self._soak.finished:
            return
        command = [sys.executable, "-m", "sycamorenotch_gateway.main"]
        command += [f"--settings={self._path}"]
        out = self._log.fileno()
        fds = {0: "w", 1: out, 2: out}
        environment = {"PATH": os.environ["PATH"]}
        self.process = reactor.spawnProcess(
            self, command[0], command, env=environment, childFDs=fds
        )

    def processEnded(self, reason: Any) -> None:
        self.process = None
        self._soak.excuse_gateway(self)
        if not self._soak.finished:
            reactor.callLater(RESTART_DELAY_S, self.start)

    def signal(self, number: signal.Signals) -> None:
        if self.process is not None and self.process.pid:
            self.process.signalProcess(number.value)

    def pause(self, seconds: float) -> None:
        if not self.paused:
            self.paused = True
            self.signal(signal.SIGSTOP)
            reactor.callLater(seconds, self.resume)

    def resume(self) -> None:
        if self.paused:
            self._soak.excuse_gateway(self)
        self.paused = False
        self.signal(signal.SIGCONT)


class BusyWorker(StandInWorker):
    """A stand-in worker with a random service time."""

    def __post_init__(self) -> None:
        super().__post_init__()
        self.random = Random(self.name)
        self.on_request: Callable[[str, HttpRequest], None] = lambda name, req: None

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        self.on_request(self.name, request)
        await deferLater(reactor, self.random.uniform(0.0, 0.03), lambda: None)
        return await super()._handle(request)


class NonReadingClient(Protocol):
    """Sends requests ahead and leaves the responses unread."""

    def connectionMade(self) -> None:
        self.transport.pauseProducing()
        self.transport.write(
            b"GET /load/ahead HTTP/1.1\r\nHost: h\r\n\r\n" * PIPELINED_REQUESTS
        )


@dataclass
class Soak:
    """Stand-ins, gateways, faults and checks of one run."""

    seed: int
    logs: Path
    store: StandInStore = field(default_factory=StandInStore)
    finished: bool = False
    sent: int = 0
    outcomes: Counter[str] = field(default_factory=Counter)
    faults: Counter[str] = field(default_factory=Counter)
    refused: dict[str, int] = field(default_factory=dict)
    # Gateway of each attempt, and when one first passed on a worker's present limit.
    gateway_of: dict[str, str] = field(default_factory=dict)
    told_at: dict[tuple[str, str], float] = field(default_factory=dict)
    # When each attempt was sent; when a gateway first passed on that a worker leaves.
    sent_at: dict[str, float] = field(default_factory=dict)
    leaving_at: dict[tuple[str, str], float] = field(default_factory=dict)
    problems: list[str] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.random = Random(self.seed)
        self.logs.mkdir(parents=True, exist_ok=True)
        self.workers = [
            BusyWorker(f"i-{n}", zone="ab"[n % 2], slots=8) for n in range(WORKERS)
        ]
        for worker in self.workers:
            worker.on_request = self.check_leaving
        self.worker_proxies = [Proxy(worker.server.address) for worker in self.workers]
        self.version = 1
        self.configuration = configuration()
        self.store.put("config", "main", self.configuration)
        for number in range(WORKERS):
            self.register(number)
        ports = iter(free_ports(5 * GATEWAYS.value))
        numbers = range(GATEWAYS.value)
        self.store_proxies = [Proxy(self.store.server.address) for _ in numbers]
        self.callers: list[str] = []
        self.gateways = [self._gateway(number, ports) for number in numbers]

    def _gateway(self, number: int, ports: Any) -> GatewayProcess:
        text = SETTINGS.format(store=self.store_proxies[number].address)
        text = text.replace("id = me", f"id = gateway-{number}")
        for name in ("callers", "readiness", "lookups", "gossip", "metrics"):
            address = f"127.0.0.1:{next(ports)}"
            text = text.replace(f"{name} = 127.0.0.1:0", f"{name} = {address}")
            if name == "callers":
                self.callers.append(address)
        path = self.logs / f"gateway-{number}.ini"
        path.write_text(text)
        log = self.logs / f"gateway-{number}.log"
        return GatewayProcess(self, f"gateway-{number}", path, log)

    def register(self, number: int) -> None:
        entry = self.workers[number].entry
        entry["address"] = self.worker_proxies[number].address
        self.store.put("servers", f"i-{number}", entry)

    # Callers

    async def call(self, pool: Http1Pool, gateway: str) -> None:
        self.sent += 1
        attempt = f"t{self.sent}"
        self.gateway_of[attempt] = gateway
        self.sent_at[attempt] = reactor.seconds()
        path, kind = self.random.choice(list(ROUTES.items()))
        headers = (
            ("Host", "h"),
            ("X-Attempt-Id", attempt),
            ("X-Affinity-Key", str(self.random.randrange(OBJECT_KEYS))),
            ("X-Remaining-Milliseconds", "2000"),
        )
        method = "POST" if kind == "unsafe" else "GET"
        request = HttpRequest(method, f"{path}{attempt}", headers)
        exchange = Deferred.fromCoroutine(pool.exchange(request, 1.0))
        exchange.addTimeout(4.0, reactor)
        try:
            response = await exchange
        except ExchangeError as exc:
            self.outcomes["cut" if exc.connected else "not connected"] += 1
            return
        except DeferredTimeoutError:
            self.outcomes["no answer"] += 1
            return
        self.outcomes[str(response.status)] += 1
        self.note_rate_limit(gateway, response)
        self.note_leaving(gateway, response)
        self.check_answer(attempt, kind, response)

    def check_answer(self, attempt: str, kind: str, response: HttpResponse) -> None:
        if response.status == 200:
            worker = get_header(response.headers, "x-response-signature").partition(
                "."
            )[0]
            if attempt not in self.ran_at(worker):
                self.problems.append(f"{attempt}: answered by {worker}, ran elsewhere")
            if get_header(response.headers, "x-attempt-id") != attempt:
                self.problems.append(f"{attempt}: answer to another request")
            if response.body != worker.encode():
                self.problems.append(f"{attempt}: body of another worker or cut")
        elif response.status in (408, 421, 429, 503) and kind == "unsafe":
            self.refused[attempt] = response.status

    def ran_at(self, worker: str) -> list[str]:
        found = [item for item in self.workers if item.name == worker]
        return found[0].ran if found else []

    def check_runs(self) -> None:
        runs = Counter(a for worker in self.workers for a in worker.ran if a)
        unsafe = {
            get_header(request.headers, "x-attempt-id")
            for worker in self.workers
            for request in worker.requests
            if request.method == "POST"
        }
        for attempt, count in runs.items():
            if count > (1 if attempt in unsafe else MAX_ATTEMPTS):
                self.problems.append(f"{attempt}: ran {count} times")
            if attempt in self.refused:
                self.problems.append(f"{attempt}: {self.refused[attempt]}, but it ran")

    async def caller(self) -> None:
        while not self.finished:
            gateway = self.random.choice(self.callers)
            pool = Http1Pool(reactor, gateway, reactor.seconds)
            for _ in range(self.random.randrange(1, 30)):
                if self.finished:
                    break
                await self.call(pool, gateway)
                await deferLater(reactor, self.random.uniform(0.0, 0.05), lambda: None)
            pool.close()

    # Faults

    async def inject(self, seconds: float) -> None:
        end = reactor.seconds() + seconds
        kinds: dict[str, Callable[[], None]] = {
            "kill": lambda: self.random_gateway().signal(signal.SIGKILL),
            "term": lambda: self.random_gateway().signal(signal.SIGTERM),
            "hup": lambda: self.random_gateway().signal(signal.SIGHUP),
            "pause": lambda: self.random_gateway().pause(self.random.uniform(0.2, 2.0)),
            "worker": self.break_worker,
            "worker-link": lambda: self.break_link(self.worker_proxies),
            "store-link": lambda: self.break_link(self.store_proxies),
            "worker-restart": self.restart_worker,
            "worker-leaving": self.leave_worker,
            "store-down": self.stop_store,
            "store-silent": self.silence_store,
            "store-restored": self.restore_store,
            "store-slow": self.slow_store,
            "store-history": self.store.discard_history,
            "configuration": self.change_configuration,
            "evacuation": self.evacuate,
            "foreign-entry": self.write_foreign_entry,
            "unread-responses": self.send_ahead,
            "misbehaving-clients": self.misbehave,
        }
        while reactor.seconds() < end:
            name = self.random.choice(sorted(kinds))
            self.faults[name] += 1
            kinds[name]()
            await deferLater(reactor, self.random.uniform(0.05, 0.6), lambda: None)

    def random_gateway(self) -> GatewayProcess:
        return self.random.choice(self.gateways)

    def break_worker(self) -> None:
        worker = self.random.choice(self.workers)
        worker.mode = self.random.choice(WORKER_MODES)
        reactor.callLater(self.random.uniform(0.2, 2.0), setattr, worker, "mode", "run")

    def break_link(self, proxies: list[Proxy]) -> None:
        proxy = self.random.choice(proxies)
        proxy.set_mode(self.random.choice(MODES))
        reactor.callLater(self.random.uniform(0.2, 2.0), proxy.set_mode, "")

    def restart_worker(self, number: int | None = None) -> None:
        if number is None:
            number = self.random.randrange(WORKERS)
        worker = self.workers[number]
        for connection in tuple(worker.server.connections):
            connection.transport.abortConnection()
        worker.born += 1
        worker.leaving = False
        self.forget_leaving(lambda left, told: left == worker.name)
        self.register(number)

    def leave_worker(self) -> None:
        """Let a worker say that it leaves; its entry does not say so."""
        self.random.choice(self.workers).leaving = True

    def silence_store(self) -> None:
        self.store.silent = True
        delay = self.random.uniform(0.2, 2.0)
        reactor.callLater(delay, setattr, self.store, "silent", False)

    def restore_store(self) -> None:
        """Let the store go back; what was lost is written again a little later."""
        copy = self.store.copy()
        cuts, delay = self.random.random() < 0.5, self.random.uniform(0.2, 2.0)
        reactor.callLater(delay, self.store.restore, copy, cuts)
        reactor.callLater(delay + self.random.uniform(0.0, 1.5), self.write_again)

    def write_again(self) -> None:
        self.store.put("config", "main", self.configuration)
        for number in range(WORKERS):
            self.register(number)

    def stop_store(self) -> None:
        self.store.down = True
        self.store.cut_watches(503)
        delay = self.random.uniform(0.2, 2.0)
        reactor.callLater(delay, setattr, self.store, "down", False)

    def slow_store(self) -> None:
        self.store.delay_s = self.random.uniform(0.1, 1.0)
        delay = self.random.uniform(0.2, 2.0)
        reactor.callLater(delay, setattr, self.store, "delay_s", 0.0)

    def change_configuration(self) -> None:
        self.version += 1
        timeout = f"{self.random.randrange(500, 2500)}ms"
        self.configuration = configuration(self.version, timeout=timeout)
        self.store.put("config", "main", self.configuration)

    def evacuate(self) -> None:
        if ("evacuations", "a") in self.store.objects:
            self.store.remove("evacuations", "a")
        else:
            self.store.put("evacuations", "a", {})

    def write_foreign_entry(self) -> None:
        name = f"foreign-{self.random.randrange(3)}"
        self.store.put("servers", name, self.random.choice(FOREIGN_ENTRIES))

    def send_ahead(self) -> None:
        """Send many requests on one connection and read no response."""
        host, _, port = self.random.choice(self.callers).rpartition(":")
        factory = Factory.forProtocol(NonReadingClient)
        connecting = TCP4ClientEndpoint(reactor, host, int(port), 1).connect(factory)
        # A gateway that is down refuses the connection.
        connecting.addErrback(lambda _: None)

    def misbehave(self) -> None:
        """Let some clients send the same without end to a gateway, and leave."""
        host, _, port = self.random.choice(self.callers).rpartition(":")
        first, repeated = MISBEHAVIOURS[self.random.choice(sorted(MISBEHAVIOURS))]
        reads = self.random.random() < 0.5

        class Misbehaving(Factory):
            noisy = False

            def buildProtocol(self, addr: Any) -> Protocol:
                return EndlessClient(first, repeated, reads)

        def leave_later(client: Protocol) -> None:
            reactor.callLater(MISBEHAVIOUR_S, client.transport.abortConnection)

        for _ in range(MISBEHAVING_CLIENTS):
            endpoint = TCP4ClientEndpoint(reactor, host, int(port), 1)
            # A gateway that is down refuses the connection.
            endpoint.connect(Misbehaving()).addCallbacks(leave_later, lambda _: None)

    # Rate limits

    async def limit_rates(self) -> None:
        """Let workers name limits that change, beside changes of configuration."""
        for _ in range(LIMIT_PERIODS):
            self.told_at.clear()
            limited = [worker for worker in self.workers if self.random.random() < 0.7]
            for worker in self.workers:
                limits = RATE_LIMITS if worker in limited else ("",)
                worker.rate_limit = self.random.choice(limits)
            await deferLater(reactor, LIMIT_PERIOD_S / 2, self.change_configuration)
            await deferLater(reactor, LIMIT_PERIOD_S / 2, self.break_worker)
            for worker in self.workers:
                self.check_rate(worker)

    def note_rate_limit(self, gateway: str, response: HttpResponse) -> None:
        worker = get_header(response.headers, "x-response-signature").partition(".")[0]
        limits = {item.name: item.rate_limit for item in self.workers}
        named = get_header(response.headers, "server-limit")
        if named and named == limits.get(worker):
            self.told_at.setdefault((worker, gateway), reactor.seconds())

    def was_told(self, worker: str, request: HttpRequest, at: float) -> bool:
        attempt = get_header(request.headers, "x-attempt-id")
        # Requests without an identifier are sent ahead, and no gateway is known.
        told_at = self.told_at.get((worker, self.gateway_of.get(attempt, "")))
        return told_at is not None and at >= told_at + LEARNING_S

    def check_rate(self, worker: BusyWorker) -> None:
        if not worker.rate_limit:
            return
        allowed = 1.5 * float(worker.rate_limit) * WINDOW_S + 5
        arrivals = [
            at
            for at, request in zip(worker.arrivals, worker.requests, strict=True)
            if self.was_told(worker.name, request, at)
        ]
        for first in arrivals:
            count = sum(first <= at < first + WINDOW_S for at in arrivals)
            if count > allowed:
                limit = worker.rate_limit
                self.problems.append(
                    f"{worker.name}: {count} requests in 4 s at a limit of {limit}"
                )
                break

    # Leaving workers

    def note_leaving(self, gateway: str, response: HttpResponse) -> None:
        worker = get_header(response.headers, "x-response-signature").partition(".")[0]
        leaving = {item.name for item in self.workers if item.leaving}
        if get_header(response.headers, "server-leaving") and worker in leaving:
            self.leaving_at.setdefault((worker, gateway), reactor.seconds())

    def excuse_gateway(self, gateway: GatewayProcess) -> None:
        """Forget what a gateway that was restarted or paused has passed on."""
        address = self.callers[self.gateways.index(gateway)]
        self.forget_leaving(lambda worker, told: told == address)

    def forget_leaving(self, ended: Callable[[str, str], bool]) -> None:
        self.leaving_at = {
            key: at for key, at in self.leaving_at.items() if not ended(*key)
        }

    def check_leaving(self, worker: str, request: HttpRequest) -> None:
        attempt = get_header(request.headers, "x-attempt-id")
        told_at = self.leaving_at.get((worker, self.gateway_of.get(attempt, "")))
        if told_at is not None and self.sent_at[attempt] > told_at + DRAIN_S:
            seconds = self.sent_at[attempt] - told_at
            self.problems.append(
                f"{attempt}: reached {worker} {seconds:.1f} s after it had left"
            )

    async def leave_and_restore(self) -> None:
        """Let a worker leave, and the store lose two configurations, in each period.

        No gateway is stopped meanwhile, which would excuse it.
        """
        for _ in range(LIMIT_PERIODS):
            number = self.random.randrange(WORKERS)
            self.workers[number].leaving = True
            copy = self.store.copy()
            await self.change_configuration_twice()
            self.store.restore(copy, cut_watches=self.random.random() < 0.5)
            reactor.callLater(self.random.uniform(0.0, 1.5), self.write_again)
            await deferLater(
                reactor, LIMIT_PERIOD_S * 3 / 5, partial(self.restart_worker, number)
            )

    async def change_configuration_twice(self) -> None:
        for _ in range(2):
            await deferLater(reactor, LIMIT_PERIOD_S / 5, self.change_configuration)

    # Configurations

    async def check_configuration(self) -> None:
        """Check that a new route is served in time after the store lost two changes."""
        copy = self.store.copy()
        await self.change_configuration_twice()
        await deferLater(reactor, 1.0, lambda: None)
        self.store.restore(copy)
        self.store.put("config", "main", self.configuration)
        await deferLater(reactor, STABILITY_WINDOW_S, lambda: None)
        self.version += 1
        self.configuration = configuration(self.version)
        self.configuration["resources"].append(route(LATE_ROUTE, "safe"))
        self.store.put("config", "main", self.configuration)
        await deferLater(reactor, CONFIGURATION_APPLY_S, lambda: None)
        for gateway in self.callers:
            status = await self.call_route(gateway, LATE_ROUTE)
            if status != 200:
                self.problems.append(f"{gateway}: {status} on a route added late")

    async def call_route(self, gateway: str, path: str, key: str = "") -> int | str:
        """Return the status of a gateway's answer, or how the call failed."""
        attempt = f"{path}-{self.version}-{gateway}"
        self.gateway_of[attempt], self.sent_at[attempt] = gateway, reactor.seconds()
        headers = (("Host", "h"), ("X-Attempt-Id", attempt), ("X-Credential", key))
        pool = Http1Pool(reactor, gateway, reactor.seconds)
        exchange = Deferred.fromCoroutine(
            pool.exchange(HttpRequest("GET", path, headers[: 3 if key else 2]), 1.0)
        )
        exchange.addTimeout(4.0, reactor)
        try:
            return (await exchange).status
        except (ExchangeError, DeferredTimeoutError) as exc:
            return type(exc).__name__
        finally:
            pool.close()

    # Keys of customers

    async def check_keys(self) -> None:
        """Check that a key is accepted while it is valid, and refused in time after."""
        for keys, expected in (([KEY], 200), ([], 401)):
            self.version += 1
            self.configuration = configuration(self.version)
            self.configuration["resources"].append(
                {
                    "resource_kind": "tenants",
                    "metadata": {"name": CUSTOMER},
                    "specification": {"keys": keys},
                }
            )
            self.store.put("config", "main", self.configuration)
            await deferLater(reactor, CONFIGURATION_APPLY_S, lambda: None)
            for gateway in self.callers:
                status = await self.call_route(gateway, "/safe/key", KEY)
                if status != expected:
                    self.problems.append(f"{gateway}: {status}, keys {keys}")
        for worker in self.workers:
            for request in worker.requests:
                named = get_header(request.headers, "x-tenant")
                if get_header(request.headers, "x-credential") or (
                    request.target == "/safe/key" and named != CUSTOMER
                ):
                    self.problems.append(f"{worker.name}: key or {named!r} passed on")

    # The run

    async def run(self, seconds: float) -> None:
        for gateway in self.gateways:
            gateway.start()
        await self.wait_until_served()
        callers = [Deferred.fromCoroutine(self.caller()) for _ in range(CALLERS)]
        await self.inject(seconds)
        self.clear_faults()
        await deferLater(reactor, 3.0, lambda: None)
        await gatherResults(
            [
                Deferred.fromCoroutine(self.limit_rates()),
                Deferred.fromCoroutine(self.leave_and_restore()),
            ]
        )
        for worker in self.workers:
            worker.rate_limit, worker.mode = "", "run"
        await self.check_configuration()
        self.finished = True
        await gatherResults(callers, consumeErrors=True)
        await self.wait_until_served()
        self.check_runs()
        await self.check_keys()

    def end(self) -> None:
        """Kill the gateways, also after a failed run."""
        self.finished = True
        for gateway in self.gateways:
            gateway.resume()
            gateway.signal(signal.SIGKILL)

    def clear_faults(self) -> None:
        self.store.down = self.store.silent = False
        self.store.delay_s = 0.0
        # Workers that said that they leave are gone and start again.
        for number, worker in enumerate(self.workers):
            if worker.leaving:
                self.restart_worker(number)
        if ("evacuations", "a") in self.store.objects:
            self.store.remove("evacuations", "a")
        for proxy in (*self.worker_proxies, *self.store_proxies):
            proxy.set_mode("")
        for worker in self.workers:
            worker.mode = "run"
        for gateway in self.gateways:
            gateway.resume()

    async def wait_until_served(self) -> None:
        """Wait until every gateway serves; record those that do not in time."""
        end = reactor.seconds() + MAX_RECOVERY_S
        for address in self.callers:
            while not await self.serves(address):
                if reactor.seconds() > end:
                    self.problems.append(f"{address} does not serve after the faults")
                    break
                await deferLater(reactor, 0.1, lambda: None)

    async def serves(self, address: str) -> bool:
        before = self.outcomes["200"]
        pool = Http1Pool(reactor, address, reactor.seconds)
        await self.call(pool, address)
        pool.close()
        return self.outcomes["200"] > before


async def _main(soak: Soak) -> None:
    await soak.run(SECONDS.value)
    print(f"seed {soak.seed}: {soak.sent} requests, {dict(soak.outcomes)}")
    print(f"faults: {dict(soak.faults)}")
    for problem in soak.problems:
        print(f"VIOLATION {problem}")


def _run(argv: list[str]) -> int:
    load_plugins()
    install_literal_resolver(reactor)
    soak = Soak(SEED.value, Path(LOGS.value) / str(SEED.value))
    failures: list[str] = []

    def ended(result: Any) -> None:
        if result is not None:
            failures.append(str(result))
            print(result)
        soak.end()
        reactor.callLater(0.5, reactor.stop)

    reactor.callWhenRunning(lambda: Deferred.fromCoroutine(_main(soak)).addBoth(ended))
    reactor.run()
    return 1 if soak.problems or failures else 0


if __name__ == "__main__":
    app.run(_run)
