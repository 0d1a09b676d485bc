"""Fleet of control daemons on loopback, in one process on one reactor."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
from itertools import product
from typing import Any
from typing import final

from twisted.internet.endpoints import TCP4ServerEndpoint
from twisted.internet.interfaces import IListeningPort
from twisted.internet.task import deferLater
from twisted.protocols.policies import ProtocolWrapper
from twisted.protocols.policies import WrappingFactory
from twisted.web.server import Site

from sycamorenotch_daemon._http_store import HttpStore
from sycamorenotch_daemon._peer_stream import Traffic
from sycamorenotch_kernel import InstanceId
from sycamorenotch_standins import ObjectTable
from sycamorenotch_standins import StoreApi
from sycamorenotch_workbench._control import CONTROL_COMPONENTS
from sycamorenotch_workbench._control import ENVIRONMENT
from sycamorenotch_workbench._control import ControlDaemon
from sycamorenotch_workbench._control import build_control_daemon
from sycamorenotch_workbench._example import EXAMPLES
from sycamorenotch_workbench._example import LOOPBACK
from sycamorenotch_workbench._example import free_ports

POLL_INTERVAL_S = 0.002
OBJECT_KIND = "environments"


@final
class CountingProtocol(ProtocolWrapper):
    """Adds the bytes of a connection to the count of its factory."""

    factory: CountingFactory

    def dataReceived(self, data: bytes) -> None:
        """Count and forward received data."""
        self.factory.bytes += len(data)
        super().dataReceived(data)

    def write(self, data: bytes) -> None:
        """Count and forward written data."""
        self.factory.bytes += len(data)
        super().write(data)

    def writeSequence(self, iovec: Any) -> None:
        """Count and forward written buffers."""
        self.factory.bytes += sum(map(len, iovec))
        super().writeSequence(iovec)


@final
class CountingFactory(WrappingFactory):
    """Counts the bytes sent and received over all connections."""

    protocol = CountingProtocol
    bytes = 0


@final
class ControlFleet:
    """Control daemons that share one stand-in store.

    :param reactor: reactor of the process.
    :param size: number of daemons.
    :param regions: number of regions, with two data centres each.
    :param over_http: whether the daemons access the store over HTTP.
    :param isolated: whether the daemons know no peers, as the baseline does.
    :param names: names of the components of each daemon.
    """

    def __init__(
        self,
        reactor: Any,
        size: int,
        *,
        regions: int = 3,
        over_http: bool = False,
        isolated: bool = False,
        names: Sequence[str] = CONTROL_COMPONENTS,
    ) -> None:
        self._names = names
        self._reactor = reactor
        self._over_http = over_http
        self._isolated = isolated
        self.text = (EXAMPLES / "vatukoula.ini").read_text()
        self.table = ObjectTable()
        self.api = StoreApi(self.table, reactor)
        self.counter = CountingFactory(Site(self.api.app.resource()))
        self._port: IListeningPort | None = None
        self._url = ""
        locations = [
            (f"r{r}", f"r{r}-{c}") for r, c in product(range(regions), range(2))
        ]
        self.members = [
            (f"entry-{index:03d}", locations[index % len(locations)], port)
            for index, port in enumerate(free_ports(size))
        ]
        self.daemons: dict[str, ControlDaemon] = {}

    async def start(self) -> None:
        """Start the store and the daemons; wait until all have the configuration."""
        if self._over_http:
            endpoint = TCP4ServerEndpoint(self._reactor, 0, interface=LOOPBACK)
            self._port = await endpoint.listen(self.counter)
            self._url = f"http://{LOOPBACK}:{self._port.getHost().port}"
        self.table.create(OBJECT_KIND, ENVIRONMENT, self.text.encode())
        for member in self.members:
            self.add(member)
        self.publish_instances()
        for daemon in self.daemons.values():
            await daemon.start()
        await self.wait_until(lambda: self.is_in_force(self.generation))

    def add(self, member: tuple[str, tuple[str, str], int]) -> ControlDaemon:
        """Build the daemon of a member; a previous one must have been stopped.

        :param member: name, location and peers' port.
        """
        name, location, port = member
        adapter = HttpStore(self._url, self._reactor) if self._over_http else None
        daemon = build_control_daemon(
            self._reactor,
            self.table,
            name,
            location,
            port,
            adapter=adapter,
            names=self._names,
        )
        self.daemons[name] = daemon
        return daemon

    def publish_instances(self, missing: Sequence[str] = ()) -> None:
        """Publish the platform's list of instances, without the missing ones."""
        listed = tuple(
            d.listed for name, d in self.daemons.items() if name not in missing
        )
        published = () if self._isolated else listed
        for daemon in self.daemons.values():
            daemon.store.listed = published
        fields = ("id", "region", "data_centre", "callers", "peers", "operators")
        self.api.instances = {
            entry.id: {**{f: getattr(entry, f) for f in fields}, "state": "live"}
            for entry in published
        }

    async def stop(self) -> None:
        """Stop every daemon and the store."""
        for daemon in self.daemons.values():
            await daemon.stop()
        if self._port is not None:
            await self._port.stopListening()

    async def wait_until(self, condition: Callable[[], bool]) -> None:
        """Wait until a condition holds."""
        while not condition():
            await deferLater(self._reactor, POLL_INTERVAL_S)

    @property
    def generation(self) -> int:
        """Generation of the document in the store."""
        return self.table.get(OBJECT_KIND, ENVIRONMENT).ok.version

    def write(self, number: int) -> int:
        """Store a changed document.

        :param number: number of the change, which determines the new cap.
        :return: generation of the stored document.
        """
        text = self.text.replace("cap = 10%", f"cap = {number % 9 + 1}%")
        text += f"# change {number}\n"
        current = self.table.get(OBJECT_KIND, ENVIRONMENT).ok
        written = self.table.update(
            OBJECT_KIND, ENVIRONMENT, text.encode(), current.version
        )
        return int(written.ok.version)

    def is_in_force(self, generation: int) -> bool:
        """Return whether a generation or a later one is in force on every daemon."""
        return all(
            daemon.node.configuration.generation >= generation
            for daemon in self.daemons.values()
        )

    def traffic(self) -> Traffic:
        """Return the total traffic of all peer streams."""
        traffics = [daemon.node.require(Traffic) for daemon in self.daemons.values()]
        return Traffic(
            sum(t.sent_bytes for t in traffics),
            sum(t.received_bytes for t in traffics),
            sum(t.sent_messages for t in traffics),
            sum(t.received_messages for t in traffics),
            sum(t.dropped_messages for t in traffics),
        )

    def ids(self) -> frozenset[InstanceId]:
        """Return the instance identifiers of the daemons."""
        return frozenset(map(InstanceId, self.daemons))
