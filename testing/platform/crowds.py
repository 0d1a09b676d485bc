"""A gateway process, and crowds of clients outside its operator's control."""

from __future__ import annotations

import os
import resource
import subprocess
import sys
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
from twisted.internet.protocol import ClientFactory
from twisted.internet.protocol import Protocol
from twisted.internet.task import LoopingCall
from twisted.internet.task import deferLater

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
    """

    def __init__(self, data: bytes, reads: bool) -> None:
        self._data = data
        self._reads = reads

    def connectionMade(self) -> None:
        if not self._reads:
            self.transport.pauseProducing()
        self.transport.write(self._data)


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


class CrowdFactory(ClientFactory):
    noisy = False

    def __init__(self, client: Protocol) -> None:
        self._client = client

    def buildProtocol(self, addr: Any) -> Protocol:
        return self._client


@dataclass
class GatewayProcess:
    """A gateway with a store and workers, and the largest use of its resources.

    :param path: folder of its settings and log.
    :param memory_mb: memory of its machine, in megabytes.
    :param descriptors: descriptors of its machine, which the system enforces.
    """

    path: Path
    memory_mb: int
    descriptors: int = 1_024
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
        text += f"descriptors = {self.descriptors}\n"
        settings = self.path / "gateway.ini"
        settings.write_text(text)
        self.port = ports["callers"]
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
        (size_kb,) = [int(line.split()[1]) for line in lines if line[:5] == "VmRSS"]
        self.largest_mb = max(self.largest_mb, size_kb / 1024)
        self.most_descriptors = max(self.most_descriptors, count)

    @property
    def alive(self) -> bool:
        return self.process.poll() is None

    def enter(self, client: Protocol) -> None:
        """Let a client connect and send."""
        connector = reactor.connectTCP("127.0.0.1", self.port, CrowdFactory(client))
        self.clients.append(connector)

    def leave(self) -> None:
        """Let all clients of the crowd close their connections."""
        for connector in self.clients:
            if connector.state == "connected":
                connector.transport.abortConnection()
            else:
                connector.disconnect()
        self.clients.clear()

    async def serves(self) -> bool:
        """Whether an ordinary request gets a 200 within the wait."""
        give_up_at = reactor.seconds() + MAX_WAIT_S
        while reactor.seconds() < give_up_at and self.alive:
            if await self._status() == 200:
                return True
            await deferLater(reactor, 0.1, lambda: None)
        return False

    async def _status(self) -> int:
        pool = Http1Pool(reactor, f"127.0.0.1:{self.port}", reactor.seconds)
        headers = (("Host", "h"), ("X-Attempt-Id", "ordinary"))
        request = HttpRequest("GET", "/safe/ordinary", headers)
        exchange = Deferred.fromCoroutine(pool.exchange(request, 1.0))
        exchange.addTimeout(MAX_WAIT_S / 2, reactor)
        try:
            return (await exchange).status
        except (ExchangeError, DeferredTimeoutError):
            return 0
        finally:
            pool.close()
