"""Complete local system in one process: instances, store and upstream stand-ins."""

from __future__ import annotations

import re
import secrets
import socket
from collections.abc import Iterator
from itertools import islice
from pathlib import Path
from random import SystemRandom
from tempfile import TemporaryDirectory
from typing import Any
from typing import final

from twisted.internet.endpoints import TCP4ServerEndpoint
from twisted.internet.interfaces import IListeningPort

from sycamorenotch_daemon import Daemon
from sycamorenotch_daemon import build_daemon
from sycamorenotch_documents import parse_environment
from sycamorenotch_documents import parse_settings
from sycamorenotch_kernel import Environment
from sycamorenotch_standins import LimitedSite
from sycamorenotch_standins import ObjectTable
from sycamorenotch_standins import StoreApi
from sycamorenotch_standins import UpstreamWorker

EXAMPLES = Path(__file__).parents[4] / "examples"
ENVIRONMENT = "production"
LOOPBACK = "127.0.0.1"
LISTENING_PORTS = range(12_000, 32_000)
TOKEN_FILE_MODE = 0o600
MAX_STORE_CONNECTIONS = 1_000
ADDRESS_PATTERN = re.compile(r"10\.\d+\.\d+\.\d+:\d+")

SETTINGS = """\
[instance]
id = entry-{data_centre}
environment = {environment}
region = {region}
data_centre = {data_centre}

[listen]
callers = 127.0.0.1:{callers}
peers = 127.0.0.1:{peers}
operators = 127.0.0.1:{operators}

[store]
adapter = http
url = {store}

[secrets]
operator_token_file = {token_file}
peer_key_file = {token_file}
"""


@final
class LocalExample:
    """Runs the system of an example document on loopback.

    :param reactor: reactor of the process.
    :param document: name of a document under ``examples/``.
    :param instances: number of entry instances.
    :param state: directory for the operators' token; a temporary one by default.
    """

    def __init__(
        self,
        reactor: Any,
        document: str = "vatukoula",
        instances: int = 2,
        state: Path | None = None,
    ) -> None:
        self._reactor = reactor
        self._ports: list[IListeningPort] = []
        self._sites: list[LimitedSite] = []
        self._directory = TemporaryDirectory()
        self._count = instances
        self.token_file = (state or Path(self._directory.name)) / "operator.token"
        self.token = secrets.token_urlsafe()
        self.text = _assign_free_ports((EXAMPLES / f"{document}.ini").read_text())
        self.environment: Environment = parse_environment(self.text)
        self.table = ObjectTable()
        self.store_api = StoreApi(self.table, reactor)
        self.store_url = ""
        self.workers: dict[str, UpstreamWorker] = {}
        self.daemons: list[Daemon] = []

    async def start(self) -> None:
        """Start the stand-ins, store the document and start the instances."""
        self.token_file.touch(TOKEN_FILE_MODE)
        self.token_file.write_text(self.token)
        await self._start_store()
        await self._start_workers()
        self.table.create("environments", ENVIRONMENT, self.text.encode())
        for region, data_centre in self._list_locations():
            await self._start_daemon(region, data_centre)

    async def stop(self) -> None:
        """Stop the instances, then the stand-ins."""
        for daemon in self.daemons:
            await daemon.stop(linger=False)
        for port in self._ports:
            await port.stopListening()
        for site in self._sites:
            site.close_connections()
        self._directory.cleanup()

    def describe(self) -> dict[str, Any]:
        """Return the listening addresses and the services as JSON types."""
        settings = [daemon.node.settings for daemon in self.daemons]
        return {
            "ready": True,
            "callers": [f"http://{item.callers}" for item in settings],
            "operators": [f"http://{item.operators}" for item in settings],
            "store": self.store_url,
            "upstreams": [
                f"http://{worker.address}"
                for worker in self.environment.workers.values()
            ],
            "services": self._services(),
        }

    def _services(self) -> dict[str, dict[str, Any]]:
        services_by_name: dict[str, dict[str, Any]] = {}
        for route in self.environment.routes:
            services_by_name.setdefault(
                route.service,
                {
                    "rank": route.rank.label,
                    "path": f"{route.prefix}/1",
                    "idempotent": route.idempotent,
                },
            )
        return services_by_name

    def _list_locations(self) -> list[tuple[str, str]]:
        regions = self.environment.regions.values()
        max_data_centres = max(len(region.data_centres) for region in regions)
        locations = [
            (region.name, region.data_centres[index])
            for index in range(max_data_centres)
            for region in regions
            if index < len(region.data_centres)
        ]
        return locations[: self._count]

    async def _listen(self, site: LimitedSite, port: int = 0) -> int:
        endpoint = TCP4ServerEndpoint(self._reactor, port, interface=LOOPBACK)
        listening = await endpoint.listen(site)
        self._ports.append(listening)
        self._sites.append(site)
        return listening.getHost().port

    async def _start_store(self) -> None:
        site = LimitedSite(self.store_api.app.resource(), MAX_STORE_CONNECTIONS)
        port = await self._listen(site)
        self.store_url = f"http://{LOOPBACK}:{port}"

    async def _start_workers(self) -> None:
        for worker in self.environment.workers.values():
            service = self.environment.services[worker.service]
            standin = UpstreamWorker(
                worker.name, worker.slots, service.service_time, self._reactor
            )
            port = int(worker.address.rpartition(":")[2])
            site = LimitedSite(standin.app.resource(), worker.connections)
            await self._listen(site, port)
            self.workers[worker.name] = standin

    async def _start_daemon(self, region: str, data_centre: str) -> None:
        callers, peers, operators = free_ports(3)
        text = SETTINGS.format(
            environment=ENVIRONMENT,
            region=region,
            data_centre=data_centre,
            callers=callers,
            peers=peers,
            operators=operators,
            store=self.store_url,
            token_file=self.token_file,
        )
        settings = parse_settings(text)
        self.store_api.instances[settings.instance] = {
            "id": settings.instance,
            "region": region,
            "data_centre": data_centre,
            "callers": settings.callers,
            "peers": settings.peers,
            "operators": settings.operators,
            "state": "live",
        }
        daemon = build_daemon(settings, self._reactor)
        await daemon.start()
        self.daemons.append(daemon)


def free_ports(count: int) -> list[int]:
    """Return ports that are currently free on loopback.

    The ports lie below the ephemeral range, so that no outgoing connection
    takes one before it is bound.
    """
    candidates = SystemRandom().sample(LISTENING_PORTS, len(LISTENING_PORTS))
    return list(islice(filter(_is_free, candidates), count))


def _is_free(port: int) -> bool:
    with socket.socket() as candidate:
        candidate.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            candidate.bind((LOOPBACK, port))
        except OSError:
            return False
    return True


def _assign_free_ports(text: str) -> str:
    ports: Iterator[int] = iter(free_ports(len(ADDRESS_PATTERN.findall(text))))
    return ADDRESS_PATTERN.sub(lambda _: f"{LOOPBACK}:{next(ports)}", text)
