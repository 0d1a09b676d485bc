"""Complete simulated system under a virtual clock."""

from __future__ import annotations

import json
from collections.abc import Coroutine
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from datetime import timedelta
from pathlib import Path
from random import Random
from tempfile import TemporaryDirectory
from typing import Any
from typing import final

import treq
from treq.client import HTTPClient
from twisted.internet.defer import Deferred
from twisted.python.failure import Failure
from twisted.web.client import Agent
from twisted.web.resource import IResource
from twisted.web.server import Site

from sycamorenotch_daemon import Daemon
from sycamorenotch_daemon import ProcessDependencies
from sycamorenotch_daemon import ReactorClock
from sycamorenotch_daemon import build_daemon
from sycamorenotch_documents import parse_environment
from sycamorenotch_documents import parse_settings
from sycamorenotch_kernel import Event
from sycamorenotch_standins import ObjectTable
from sycamorenotch_standins import StoreApi
from sycamorenotch_standins import UpstreamWorker
from sycamorenotch_transport import BytesProducer
from sycamorenotch_workbench._example import ENVIRONMENT
from sycamorenotch_workbench._virtual_host import VirtualHost
from sycamorenotch_workbench._virtual_network import VirtualNetwork

STORE_ADDRESS = "10.250.0.1"
HTTP_PORT = 80
CALLERS_PORT = 8080
PEERS_PORT = 8081
OPERATORS_PORT = 8082
CALLER_TIMEOUT = timedelta(seconds=60)
OPERATOR_TOKEN = "virtual-token-of-the-operators"

SETTINGS = """\
[instance]
id = {name}
environment = {environment}
region = {region}
data_centre = {data_centre}

[listen]
callers = {address}:8080
peers = {address}:8081
operators = {address}:8082

[store]
adapter = http
url = http://10.250.0.1:80

[secrets]
operator_token_file = {token_file}
peer_key_file = {token_file}
"""


@final
@dataclass(frozen=True, slots=True)
class RecordedEvent:
    """Event emitted by one process.

    :param at: virtual time of emission.
    :param source: name of the emitting instance.
    """

    at: timedelta
    source: str
    event: Event


@final
@dataclass(frozen=True, slots=True)
class Reply:
    """Response that a caller received.

    :param status: HTTP status, or 0 if no complete response arrived.
    :param error: name of the exception if no complete response arrived.
    """

    status: int
    headers: Mapping[str, str]
    body: bytes
    error: str = ""

    def json(self) -> Any:
        """Return the body decoded from JSON."""
        return json.loads(self.body)

    @property
    def ran(self) -> str | None:
        """The ``ran`` member of a problem response, or None for other responses."""
        if self.status < 400 or not self.body:
            return None
        return str(self.json().get("ran"))


@final
class _EventRecorder:
    def __init__(
        self, source: str, host: VirtualHost, recorded_events: list[RecordedEvent]
    ) -> None:
        self._source = source
        self._host = host
        self._recorded_events = recorded_events

    def emit(self, event: Event) -> None:
        """Record the event with its time and source."""
        at = timedelta(seconds=self._host.seconds())
        self._recorded_events.append(RecordedEvent(at, self._source, event))


@final
@dataclass(slots=True)
class Instance:
    """Entry instance.

    :param start_count: number of processes started under the name.
    :param previous: daemons of the replaced processes, oldest first.
    """

    name: str
    region: str
    data_centre: str
    address: str
    host: VirtualHost
    daemon: Daemon
    start_count: int = 1
    previous: list[Daemon] = field(default_factory=list)

    def daemons(self) -> list[Daemon]:
        """Return the daemons of all processes that ran under the name."""
        return [*self.previous, self.daemon]


@final
class VirtualSystem:
    """Simulated store, upstreams and entry instances of an environment document.

    :param text: environment document; workers listen on its addresses.
    :param instances: number of entry instances, spread over data centres.
    :param seed: seed of every random source.
    :param strict: whether a violated invariant raises.
    """

    def __init__(
        self, text: str, instances: int = 3, seed: int = 1, *, strict: bool = False
    ) -> None:
        self.text = text
        self.environment = parse_environment(text)
        self.network = VirtualNetwork()
        self.recorded_events: list[RecordedEvent] = []
        self.table = ObjectTable()
        self.instances: dict[str, Instance] = {}
        self.workers: dict[str, UpstreamWorker] = {}
        self.worker_hosts: dict[str, VirtualHost] = {}
        self._random = Random(seed)
        self._strict = strict
        self._temporary_directory = TemporaryDirectory()
        self._token_file = Path(self._temporary_directory.name) / "token"
        self._token_file.write_text(OPERATOR_TOKEN)
        self._set_latencies()
        self._start_store()
        self._start_workers()
        self._start_instances(instances)
        self._caller = self._start_caller()

    def close(self) -> None:
        """Delete the temporary files."""
        self._temporary_directory.cleanup()

    def _set_latencies(self) -> None:
        for (source, target), link in self.environment.links.items():
            self.network.set_latency(source, target, link.latency)
        for region in self.environment.regions.values():
            self.network.set_latency("callers", region.name, region.client_latency)

    def _start_store(self) -> None:
        region = next(iter(self.environment.regions))
        self.store_host = VirtualHost(self.network, region, STORE_ADDRESS)
        self.store = StoreApi(self.table, self.store_host)
        self._listen(
            self.store_host, STORE_ADDRESS, HTTP_PORT, self.store.app.resource()
        )
        self.table.create("environments", ENVIRONMENT, self.text.encode())

    def _start_workers(self) -> None:
        for worker in self.environment.workers.values():
            address, _, port = worker.address.rpartition(":")
            host = VirtualHost(self.network, worker.region, address)
            service_time = self.environment.services[worker.service].service_time
            standin = UpstreamWorker(worker.name, worker.slots, service_time, host)
            self._listen(host, address, int(port), standin.app.resource())
            self.workers[worker.name] = standin
            self.worker_hosts[worker.name] = host

    def _start_instances(self, count: int) -> None:
        regions = list(self.environment.regions.values())
        locations = [
            (region.name, region.data_centres[index])
            for index in range(max(len(r.data_centres) for r in regions))
            for region in regions
            if index < len(region.data_centres)
        ]
        for index, (region, data_centre) in enumerate(locations[:count], start=1):
            self._start_instance(region, data_centre, f"10.200.0.{index}")

    def _start_instance(self, region: str, data_centre: str, address: str) -> None:
        name = f"entry-{data_centre}"
        host, daemon = self._build(name, region, data_centre, address)
        self.instances[name] = Instance(
            name, region, data_centre, address, host, daemon
        )
        self.store.instances[name] = {
            "id": name,
            "region": region,
            "data_centre": data_centre,
            "callers": f"{address}:{CALLERS_PORT}",
            "peers": f"{address}:{PEERS_PORT}",
            "operators": f"{address}:{OPERATORS_PORT}",
            "state": "live",
        }

    def _build(
        self, name: str, region: str, data_centre: str, address: str
    ) -> tuple[VirtualHost, Daemon]:
        host = VirtualHost(self.network, region, address)
        settings = parse_settings(
            SETTINGS.format(
                name=name,
                environment=ENVIRONMENT,
                region=region,
                data_centre=data_centre,
                address=address,
                token_file=self._token_file,
            )
        )
        dependencies = ProcessDependencies(
            clock=ReactorClock(host),
            random=Random(self._random.getrandbits(64)),
            sink=_EventRecorder(name, host, self.recorded_events),
            strict=self._strict,
        )
        daemon = build_daemon(settings, host, dependencies)
        Deferred.fromCoroutine(daemon.start())
        return host, daemon

    def _start_caller(self) -> HTTPClient:
        self._caller_host = VirtualHost(self.network, "callers", "10.240.0.1")
        return HTTPClient(Agent(self._caller_host))

    def _listen(
        self, host: VirtualHost, address: str, port: int, resource: IResource
    ) -> None:
        site = Site(resource, reactor=host)
        site.displayTracebacks = False
        host.listenTCP(port, site, interface=address)

    def kill(self, name: str) -> None:
        """Terminate an instance's process."""
        self.instances[name].host.kill()

    def restart(self, name: str) -> None:
        """Replace an instance with a new process of the same name."""
        instance = self.instances[name]
        if not instance.host.dead:
            instance.host.kill()
        instance.previous.append(instance.daemon)
        instance.host, instance.daemon = self._build(
            name, instance.region, instance.data_centre, instance.address
        )
        instance.start_count += 1

    def advance(self, duration: timedelta) -> None:
        """Advance the virtual clock and run every call that becomes due."""
        self.network.advance(duration)

    def wait(self, coroutine: Coroutine[Any, Any, Any]) -> Any:
        """Advance the virtual clock until a coroutine finishes; return its result."""
        deferred = Deferred.fromCoroutine(coroutine)
        results: list[Any] = []
        deferred.addBoth(results.append)
        while not results and self.network.step():
            pass
        (result,) = results
        if isinstance(result, Failure):
            result.raiseException()
        return result

    def wait_for_replies(self, deferreds: list[Deferred[Reply]]) -> list[Reply]:
        """Advance the virtual clock until every reply has arrived."""

        async def gather() -> list[Reply]:
            return [await deferred for deferred in deferreds]

        replies: list[Reply] = self.wait(gather())
        return replies

    def request(
        self,
        instance: str,
        method: str,
        path: str,
        headers: Mapping[str, str] | None = None,
        body: bytes | None = None,
        port: int = CALLERS_PORT,
    ) -> Deferred[Reply]:
        """Send a request to an instance.

        :param instance: name of the instance.
        :param port: port of the listener; the callers' listener by default.
        """
        url = f"http://{self.instances[instance].address}:{port}{path}"
        return Deferred.fromCoroutine(self._request(method, url, headers, body))

    def call(
        self,
        instance: str,
        method: str,
        path: str,
        headers: Mapping[str, str] | None = None,
        body: bytes | None = None,
    ) -> Reply:
        """Send a request and advance the virtual clock until its reply arrives."""
        deferred = self.request(instance, method, path, headers, body)
        return self.wait_for_replies([deferred])[0]

    async def _request(
        self,
        method: str,
        url: str,
        headers: Mapping[str, str] | None,
        body: bytes | None,
    ) -> Reply:
        try:
            response = await self._caller.request(
                method,
                url,
                headers=dict(headers or {}),
                data=None if body is None else BytesProducer(body),
                timeout=CALLER_TIMEOUT.total_seconds(),
                reactor=self._caller_host,
            )
            content = await treq.content(response)
        except Exception as exc:
            return Reply(0, {}, b"", type(exc).__name__)
        raw = response.headers.getAllRawHeaders()
        received = {
            name.decode("latin-1").lower(): values[0].decode("latin-1")
            for name, values in raw
        }
        return Reply(response.code, received, content)
