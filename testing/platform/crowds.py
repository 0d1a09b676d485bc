"""A gateway process, and crowds of clients outside its operator's control."""

from __future__ import annotations

import os
import resource
import subprocess
import sys
from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from pathlib import Path
from typing import Any

from testing.platform.conftest import SETTINGS
from testing.platform.conftest import configuration
from testing.platform.standins import StandInStore
from testing.platform.standins import StandInWorker
from twisted.internet import reactor
from twisted.internet.defer import Deferred
from twisted.internet.defer import TimeoutError as DeferredTimeoutError
from twisted.internet.interfaces import IPullProducer
from twisted.internet.protocol import ClientFactory
from twisted.internet.protocol import Protocol
from twisted.internet.task import LoopingCall
from twisted.internet.task import deferLater
from zope.interface import implementer

from sycamorenotch_transport import ExchangeError
from sycamorenotch_transport import Http1Pool
from sycamorenotch_transport import HttpRequest
from sycamorenotch_transport import HttpResponse
from sycamorenotch_workbench._example import free_ports

LISTENERS = ("callers", "readiness", "lookups", "gossip", "metrics")
SAMPLE_INTERVAL_S = 0.05
# An ordinary caller sends again until this time; no single response is timed.
MAX_WAIT_S = 12.0
LARGE_RESPONSE = bytes(262_144)
HEAD_LINES = b"Host: h\r\n\r\n"
GET = b"GET /safe/1 HTTP/1.1\r\n" + HEAD_LINES
MANY_FIELDS = b"GET /safe/1 HTTP/1.1\r\nHost: h\r\n" + b"a:\r\n" * 3_900 + b"\r\n"
CHUNKED = b"POST /once/1 HTTP/1.1\r\nTransfer-Encoding: chunked\r\n" + HEAD_LINES
LONG_BODY = b"POST /once/1 HTTP/1.1\r\nContent-Length: 4000000\r\n" + HEAD_LINES
TINY_CHUNK = b"1\r\nx\r\n"
# What each kind of client sends first, and what it then repeats.
ENDLESS = {
    "request line": (b"GET /", b"x"),
    "fields": (GET[:-2], b"a: b\r\n"),
    "blank lines": (b"", b"\r\n"),
    "chunk size": (CHUNKED, b"0"),
    "chunk extensions": (CHUNKED, b"1;" + b"x" * 6_000 + b"\r\nx\r\n"),
    "trailers": (CHUNKED + b"0\r\n", b"a: b\r\n"),
    "body beyond its length": (LONG_BODY, b"x"),
    "requests of many fields": (b"", MANY_FIELDS),
}
# The process uses about 85 MB before it serves.
MEMORY_MB = 150
DESCRIPTORS = 600
# Part of the descriptors that may be in use.
MOST_DESCRIPTORS = 500 / 600
HOLD_S = 5.0
# After this time nothing of a client that has left may be held for it.
SETTLE_S = 2.0
BLOCK_BYTES = 49_152
# A client that was closed connects again after this time.
RETURN_INTERVAL_S = 0.05


class LargeWorker(StandInWorker):
    """A worker whose responses on ``/load/`` are large."""

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        response = await super()._handle(request)
        self.requests.clear()
        if not request.target.startswith("/load/"):
            return response
        return HttpResponse(response.status, response.headers, LARGE_RESPONSE)


class Client(Protocol):
    """A client that sends some bytes.

    :param reads: whether it reads the responses.
    :param half_closes: whether it then closes its side of the connection.
    """

    def __init__(self, data: bytes, reads: bool, *, half_closes: bool = False) -> None:
        self._data = data
        self._reads = reads
        self._half_closes = half_closes

    def connectionMade(self) -> None:
        if not self._reads:
            self.transport.pauseProducing()
        self.transport.write(self._data)
        if self._half_closes:
            self.transport.loseWriteConnection()


class ResettingClient(Client):
    """A client that sends some bytes and resets the connection."""

    def __init__(self, data: bytes) -> None:
        super().__init__(data, reads=True)

    def connectionMade(self) -> None:
        super().connectionMade()
        reactor.callLater(RETURN_INTERVAL_S, self.transport.abortConnection)


class TricklingClient(Protocol):
    """A client that sends the last piece of a request slowly."""

    def __init__(self, data: bytes, piece: bytes) -> None:
        self._data = data
        self._loop = LoopingCall(lambda: self.transport.write(piece))

    def connectionMade(self) -> None:
        self.transport.write(self._data)
        self._loop.start(0.2)

    def connectionLost(self, reason: Any) -> None:
        self._loop.stop()


@implementer(IPullProducer)
class EndlessClient(Protocol):
    """A client that sends the same bytes again and again, as fast as they are taken.

    :param first: bytes that it sends once, before the others.
    """

    def __init__(self, first: bytes, repeated: bytes, reads: bool = True) -> None:
        self._first = first
        self._block = repeated * max(1, BLOCK_BYTES // len(repeated))
        self._reads = reads

    def connectionMade(self) -> None:
        if not self._reads:
            self.transport.pauseProducing()
        self.transport.write(self._first)
        self.transport.registerProducer(self, False)

    def resumeProducing(self) -> None:
        self.transport.write(self._block)

    def stopProducing(self) -> None:
        """Do nothing; the connection is lost."""


class CrowdFactory(ClientFactory):
    """Builds one client, and lets it connect again when it was closed.

    :param build: builds a client for each connection.
    :param returns: whether it connects again.
    """

    noisy = False

    def __init__(self, build: Callable[[], Protocol], returns: bool = False) -> None:
        self._build = build
        self.returns = returns

    def buildProtocol(self, addr: Any) -> Protocol:
        return self._build()

    def clientConnectionLost(self, connector: Any, reason: Any) -> None:
        if self.returns:
            reactor.callLater(RETURN_INTERVAL_S, self._return, connector)

    clientConnectionFailed = clientConnectionLost

    def _return(self, connector: Any) -> None:
        if self.returns:
            connector.connect()


@dataclass
class GatewayProcess:
    """A gateway with a store and workers, and the largest use of its resources.

    :param path: folder of its settings and log.
    :param memory_mb: memory of its machine, in megabytes.
    :param descriptors: descriptors of its machine, which the system enforces.
    :param extra_settings: further sections of its settings.
    """

    path: Path
    memory_mb: int
    descriptors: int = 1_024
    extra_settings: str = ""
    largest_mb: float = 0.0
    most_descriptors: int = 0
    clients: list[Any] = field(default_factory=list)

    def start(self) -> None:
        self.store = StandInStore()
        self.workers = [LargeWorker(f"i-{n}", slots=16) for n in range(2)]
        self.store.put("config", "main", configuration())
        for worker in self.workers:
            self.store.put("servers", worker.name, worker.entry)
        ports = dict(zip(LISTENERS, free_ports(len(LISTENERS)), strict=True))
        text = SETTINGS.format(store=self.store.server.address)
        for name, port in ports.items():
            text = text.replace(f"{name} = 127.0.0.1:0", f"{name} = 127.0.0.1:{port}")
        text += f"[machine]\nmemory_mb = {self.memory_mb}\n"
        text += f"descriptors = {self.descriptors}\n{self.extra_settings}"
        settings = self.path / "gateway.ini"
        settings.write_text(text)
        self.ports = ports
        limits = (self.descriptors, self.descriptors)
        with (self.path / "gateway.log").open("wb") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "sycamorenotch_gateway.main"]
                + [f"--settings={settings}"],
                stdout=log,
                stderr=log,
                env={"PATH": os.environ["PATH"]},
                preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, limits),
            )
        self._sampling = LoopingCall(self._sample)
        self._sampling.start(SAMPLE_INTERVAL_S)

    async def stop(self) -> None:
        self._sampling.stop()
        self.leave()
        self.process.kill()
        self.process.wait()
        for server in [self.store.server, *(w.server for w in self.workers)]:
            await server.stop(0)

    def _sample(self) -> None:
        folder = Path(f"/proc/{self.process.pid}")
        try:
            lines = (folder / "status").read_text().splitlines()
            count = len(os.listdir(folder / "fd"))
        except OSError:
            # The process has ended; ``alive`` tells.
            return
        # A process that has ended and was not waited for has no such line.
        sizes = [int(line.split()[1]) for line in lines if line[:5] == "VmRSS"]
        self.largest_mb = max(self.largest_mb, *(size / 1024 for size in sizes), 0)
        self.most_descriptors = max(self.most_descriptors, count)

    @property
    def alive(self) -> bool:
        return self.process.poll() is None

    async def ends_after(self, number: int) -> bool:
        """Send the process a signal; return whether it ends within the wait."""
        await _sleep(HOLD_S)
        self.process.send_signal(number)
        give_up_at = reactor.seconds() + MAX_WAIT_S
        while reactor.seconds() < give_up_at and self.alive:
            await _sleep(SAMPLE_INTERVAL_S)
        return not self.alive

    def enter(
        self,
        build: Callable[[], Protocol],
        listener: str = "callers",
        returns: bool = False,
    ) -> None:
        """Let a client connect to a listener and send.

        :param build: builds the client; more than once if it returns.
        :param returns: whether it connects again when it was closed.
        """
        factory = CrowdFactory(build, returns)
        connector = reactor.connectTCP("127.0.0.1", self.ports[listener], factory)
        self.clients.append((connector, factory))

    def leave(self) -> None:
        """Let all clients of the crowd close their connections."""
        for connector, factory in self.clients:
            factory.returns = False
            if connector.state == "connected":
                connector.transport.abortConnection()
            else:
                connector.disconnect()
        self.clients.clear()

    async def serves(self, target: str = "/safe/ordinary", body: bytes = b"") -> bool:
        """Whether an ordinary request gets a 200 within the wait."""
        return await self._wait_for_200(lambda: self.status(target, body=body))

    async def is_ready(self) -> bool:
        """Whether a readiness probe gets a 200 within the wait."""
        return await self._wait_for_200(
            lambda: self.status("/api/readiness", "readiness")
        )

    async def _wait_for_200(self, ask: Callable[[], Awaitable[int]]) -> bool:
        give_up_at = reactor.seconds() + MAX_WAIT_S
        while reactor.seconds() < give_up_at and self.alive:
            if await ask() == 200:
                return True
            await deferLater(reactor, 0.1, lambda: None)
        return False

    async def status(
        self,
        target: str = "/safe/ordinary",
        listener: str = "callers",
        body: bytes = b"",
    ) -> int:
        """Send one ordinary request and return its status, or 0 without an answer."""
        address = f"127.0.0.1:{self.ports[listener]}"
        pool = Http1Pool(reactor, address, reactor.seconds)
        headers = (("Host", "h"), ("X-Attempt-Id", "ordinary"))
        request = HttpRequest("POST" if body else "GET", target, headers, body)
        exchange = Deferred.fromCoroutine(pool.exchange(request, 1.0))
        exchange.addTimeout(MAX_WAIT_S / 2, reactor)
        try:
            return (await exchange).status
        except (ExchangeError, DeferredTimeoutError):
            return 0
        finally:
            pool.close()


@dataclass
class Crowd:
    """Plays clients against a gateway process and checks what must hold.

    :param path: folder of the settings and the log of the process.
    :param memory_mb: memory of its machine, in megabytes.
    :param descriptors: descriptors of its machine.
    :param settings: further sections of its settings.
    """

    path: Path
    memory_mb: int = MEMORY_MB
    descriptors: int = DESCRIPTORS
    settings: str = ""

    async def play(
        self,
        enter: Callable[[GatewayProcess, int], None],
        count: int,
        *,
        served_meanwhile: bool,
        answered_at_once: bool = False,
        short_body: bytes = b"",
        prepare: Callable[[GatewayProcess], None] = lambda gateway: None,
        disturb: Callable[[GatewayProcess], None] = lambda gateway: None,
    ) -> None:
        """Let clients come, stay for a time and leave.

        :param enter: lets the client of a number connect.
        :param served_meanwhile: whether an ordinary request must be answered while
            the clients are there.
        :param answered_at_once: whether the first request of an ordinary caller must
            be answered then, if only with a refusal.
        :param short_body: body of a further request that must be answered then.
        :param prepare: called before the clients come.
        :param disturb: called while they are there.
        """
        gateway = GatewayProcess(
            self.path, self.memory_mb, self.descriptors, self.settings
        )
        gateway.start()
        try:
            assert await gateway.serves()
            prepare(gateway)
            for number in range(count):
                enter(gateway, number)
            await _sleep(HOLD_S)
            disturb(gateway)
            answered = not answered_at_once or await gateway.status() != 0
            served = answered and (not served_meanwhile or await gateway.serves())
            if short_body:
                served = served and await gateway.serves("/once/ordinary", short_body)
            gateway.leave()
            await self._check_afterwards(gateway, served)
        finally:
            await gateway.stop()

    async def _check_afterwards(self, gateway: GatewayProcess, served: bool) -> None:
        """Check that nothing is left of the clients and that the bounds held."""
        served_after = await gateway.serves()
        await _sleep(SETTLE_S)
        answered = await gateway.status() == 200
        ready = await gateway.is_ready()
        seen = f"{gateway.largest_mb:.0f} MB, {gateway.most_descriptors} descriptors"
        print(seen, served, served_after, answered, ready)
        assert gateway.alive, seen
        assert gateway.largest_mb < self.memory_mb, seen
        assert gateway.most_descriptors < self.descriptors * MOST_DESCRIPTORS, seen
        assert served, seen
        assert served_after, seen
        assert answered, seen
        assert ready, seen


def _sleep(seconds: float) -> Deferred[None]:
    return deferLater(reactor, seconds, lambda: None)
