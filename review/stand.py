"""Stand-ins of the platform, and the gateway as a process, for these scripts.

Everything is on loopback addresses and uses the standard library only.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import tempfile
import time
import tomllib
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Coroutine
from pathlib import Path
from typing import Any
from typing import ClassVar
from urllib.parse import parse_qs
from urllib.parse import unquote

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# A case ends within 120 seconds.
MAX_SECONDS = 112
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
REASONS = {
    200: "OK", 201: "Created", 404: "Not Found", 409: "Conflict", 410: "Gone",
    421: "Misdirected Request", 429: "Too Many Requests", 500: "Error",
    503: "Service Unavailable", 504: "Gateway Timeout",
}  # fmt: skip
_TASKS: set[asyncio.Task[Any]] = set()
# Of `../given/kit/more/system/sites/vsvo-levy.toml`, as `fleetbench wire` shows them.
BOUNDS = {
    "stability_window": "4000ms", "drain": "2500ms", "grace": "6s",
    "configuration_apply": "2500ms", "retry_budget_ratio": 0.2, "budget_window": "10s",
    "budget_extra_retries": 60, "ttl_max": "5s", "evacuation": "5000ms",
    "recovery": "15s", "loss_slack": "200ms",
}  # fmt: skip
MEMORY_MB = 300
STABILITY_WINDOW_S, DRAIN_S, RECOVERY_S, LOSS_SLACK_S = 4.0, 2.5, 15.0, 0.2
HEARTBEAT_S = 1.5
ZONES = {"lautoka-a": "viti-west", "suva-a": "viti-central", "labasa-a": "vanua-north"}


def spawn(work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
    """Start a task, and keep it until it ends."""
    task = asyncio.ensure_future(work)
    _TASKS.add(task)
    task.add_done_callback(_TASKS.discard)
    return task


class Record:
    """Writes what happened to ``record.txt``, with times since the start."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._start = time.monotonic()

    def __call__(self, text: str) -> None:
        now = time.monotonic() - self._start
        self._file.write(f"{now:8.3f} {text}\n")
        self._file.flush()


class Request:
    """A request as a server read it."""

    def __init__(self, method: str, target: str, headers: dict[str, str], body: bytes):
        self.method, self.target, self.headers, self.body = (
            method,
            target,
            headers,
            body,
        )


async def read_head(
    reader: asyncio.StreamReader, begin: bytes = b""
) -> tuple[str, dict[str, str]]:
    """Return the first line and the headers, with lower-case names."""
    raw = (begin + await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = raw[:-4].split("\r\n")
    pairs = (line.split(":", 1) for line in lines)
    return first, {name.strip().lower(): value.strip() for name, value in pairs}


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Return the body of a message with a length."""
    return await reader.readexactly(int(headers.get("content-length", "0")))


def encode(status: int, headers: dict[str, str], body: bytes) -> bytes:
    """Return the bytes of an answer with a length."""
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Server:
    """An HTTP server with kept connections, one request at a time on each."""

    def __init__(self) -> None:
        self.host, self.port = "127.0.0.1", 0
        self._server: Any = None
        self.writers: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        return f"{self.host}:{self.port}"

    async def open(self) -> None:
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port, limit=2**17, backlog=256
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        """Stop to listen and reset all connections, as the end of a process does."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in tuple(self.writers):
            reset(writer)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.writers.add(writer)
        next_byte = asyncio.ensure_future(reader.read(1))
        try:
            while byte := await next_byte:
                first, headers = await read_head(reader, byte)
                method, target, _ = first.split(" ")
                if await self.answer_early(headers, writer):
                    await read_body(reader, headers)
                    next_byte = asyncio.ensure_future(reader.read(1))
                    continue
                body = await read_body(reader, headers)
                request = Request(method, target, headers, body)
                # The work ends when the caller closes the connection.
                work = asyncio.ensure_future(self.answer(request))
                next_byte = asyncio.ensure_future(reader.read(1))
                await asyncio.wait({work, next_byte}, return_when="FIRST_COMPLETED")
                if not work.done() and not (next_byte.done() and _arrived(next_byte)):
                    work.cancel()
                    return
                writer.write(await work)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            next_byte.cancel()
            self.writers.discard(writer)
            writer.transport.abort()

    async def answer_early(
        self, headers: dict[str, str], writer: asyncio.StreamWriter
    ) -> bool:
        """Answer before the body is read, if the server does so."""
        return False

    async def answer(self, request: Request) -> bytes:
        raise NotImplementedError


def _arrived(byte: asyncio.Future[bytes]) -> bool:
    return byte.exception() is None and byte.result() != b""


class Proxy:
    """Passes connections on to a server; open ones can go silent, without a reset."""

    def __init__(self, address: str) -> None:
        self._host, _, port = address.rpartition(":")
        self._port = int(port)
        self._server: Any = None
        self._open: set[asyncio.Event] = set()
        # Silent connections stay open until the end.
        self._kept: list[Any] = []
        self.address = ""

    async def open(self) -> None:
        self._server = await asyncio.start_server(self._pass, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    def silence(self) -> int:
        """Pass nothing more on for the connections that are open now."""
        count = len(self._open)
        for silent in self._open:
            silent.set()
        self._open.clear()
        return count

    def close(self) -> None:
        """Close all connections."""
        for _, writer, inner, task in self._kept:
            task.cancel()
            writer.transport.abort()
            inner[1].transport.abort()

    async def _pass(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        silent = asyncio.Event()
        self._open.add(silent)
        try:
            inner = await asyncio.open_connection(self._host, self._port)
            self._kept.append((reader, writer, inner, asyncio.current_task()))
            await asyncio.gather(
                self._copy(reader, inner[1], silent),
                self._copy(inner[0], writer, silent),
            )
        except OSError:
            pass
        finally:
            self._open.discard(silent)

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        silent: asyncio.Event,
    ) -> None:
        try:
            while data := await reader.read(65536):
                if not silent.is_set():
                    writer.write(data)
                    await writer.drain()
        except OSError:
            pass
        if not silent.is_set():
            writer.transport.abort()


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        except OSError:
            pass
    writer.transport.abort()


class Store(Server):
    """The platform's store: objects by kind and name, lists, watches and writes."""

    def __init__(self) -> None:
        super().__init__()
        self.revision = 10
        self.objects: dict[tuple[str, str], dict[str, Any]] = {}
        self.events: list[tuple[int, str, dict[str, Any], bool]] = []
        self._changed = asyncio.Event()

    def put(self, kind: str, name: str, specification: Any) -> None:
        old = self.objects.get((kind, name))
        if old is not None and old["specification"] == specification:
            return
        self.revision += 1
        created = self.revision if old is None else old["metadata"]["created"]
        meta = {
            "name": name, "revision": self.revision, "created": created,
            "finalizers": [], "deleting": False,
        }  # fmt: skip
        item = {"metadata": meta, "specification": specification, "status": None}
        self.objects[kind, name] = item
        self._note(kind, item, deleted=False)

    def remove(self, kind: str, name: str) -> None:
        item = self.objects.pop((kind, name), None)
        if item is not None:
            self.revision += 1
            self._note(kind, item, deleted=True)

    def _note(self, kind: str, item: dict[str, Any], *, deleted: bool) -> None:
        self.events.append((self.revision, kind, item, deleted))
        self._changed.set()
        self._changed = asyncio.Event()

    async def answer(self, request: Request) -> bytes:
        path, _, text = request.target.partition("?")
        query = {name: values[0] for name, values in parse_qs(text).items()}
        kind, _, name = path.removeprefix("/api/objects/").partition("/")
        name = unquote(name)
        if request.method == "GET" and "watch" in query:
            return await self._watch(kind, query)
        if request.method == "GET":
            names = sorted(n for k, n in self.objects if k == kind)
            names = [n for n in names if n > query.get("after", "")]
            items = [self.objects[kind, n] for n in names[:500]]
            more = len(names) > 500
            return _json({"items": items, "has_more": more, "at": self.revision})
        body = json.loads(request.body) if request.body else {}
        name = name or body["metadata"]["name"]
        if request.method == "POST" and (kind, name) in self.objects:
            return _json(self.objects[kind, name], 409)
        if request.method == "DELETE":
            self.remove(kind, name)
            return _json({})
        self.put(kind, name, body["specification"])
        return _json(self.objects[kind, name])

    async def _watch(self, kind: str, query: dict[str, str]) -> bytes:
        after = int(query["watch"])
        end = time.monotonic() + min(30.0, int(query.get("wait_ms", "0")) / 1000)
        while True:
            found = [
                {"object": item, "deleted": deleted}
                for revision, k, item, deleted in self.events
                if k == kind and revision > after
            ]
            left = end - time.monotonic()
            if found or left <= 0:
                return _json({"events": found, "at": self.revision})
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                pass


def _json(value: Any, status: int = 200) -> bytes:
    # As `json.dumps` writes it: ASCII only, other characters as \uXXXX.
    headers = {"Content-Type": "application/json", "Store-Era": "1"}
    return encode(status, headers, json.dumps(value).encode())


class Worker(Server):
    """A worker with an entry in the store.

    :param work_s: time that a request takes.
    :param on_run: called when the worker begins to run a request.
    """

    def __init__(
        self, store: Store, name: str, record: Record, *, service: str = "huvo11a",
        zone: str = "lautoka-a", slots: int = 16, work_s: float = 0.05,
        on_run: Callable[[Worker, Request], Awaitable[bytes | None]] | None = None,
    ) -> None:  # fmt: skip
        super().__init__()
        self.name, self.service, self.zone, self.slots = name, service, zone, slots
        self.work_s, self.record, self.on_run = work_s, record, on_run
        self.state = "ready"
        self.running = 0
        self.runs: list[tuple[float, str]] = []
        self._store = store
        self._born = int(time.time() * 1000)
        self._sequence = 0

    def report(self, **changes: Any) -> None:
        """Write the entry, as a heartbeat does when more than its number changes."""
        self._sequence += 1
        entry = {
            "service": self.service, "address": self.address, "zone": self.zone,
            "version": "v1", "slots": self.slots, "state": self.state,
            "cold_remaining": "0ms", "sequence": self._sequence, "born": self._born,
        }  # fmt: skip
        self._store.put("servers", self.name, entry | changes)

    async def answer(self, request: Request) -> bytes:
        if request.headers.get("x-expected-instance", self.name) != self.name:
            return encode(421, {"X-Instance-Id": self.name}, b"")
        attempt = request.headers.get("x-attempt-id", "")
        self.running += 1
        self.runs.append((time.monotonic(), attempt))
        self.record(
            f"run      {attempt} by {self.name} {request.method} {request.target}"
        )
        try:
            if self.on_run is not None:
                found = await self.on_run(self, request)
                if found is not None:
                    return found
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        headers = {
            "X-Attempt-Id": attempt,
            "X-Response-Signature": f"3e1b.07.5a2.600.0.{attempt}",
            "X-Server-Load": f"{self.running + 1},0,{self.slots}",
            "Keep-Alive": "timeout=10",
        }
        return encode(200, headers, f"body of {attempt}".encode())


class Gateway:
    """One gateway, started with the command of the deploy file.

    The platform ends the process if it exceeds its memory, and starts it again.
    """

    def __init__(self, store: str, record: Record, name: str, zone: str = "lautoka-a"):
        self.name, self.zone, self._record = name, zone, record
        # A loopback address of its own, as the port of the metrics is fixed.
        rest = (random.randint(16, 250) for _ in range(3))
        self.ip = "127." + ".".join(map(str, rest))
        ports = free_ports(self.ip, 5)
        listen = ("frontend", "ready", "control", "directory")
        self.listen = {n: f"{self.ip}:{p}" for n, p in zip(listen, ports, strict=False)}
        self._folder = Path(tempfile.mkdtemp(prefix="sycamorenotch-review-"))
        self._fields = {
            "node_name": name, "region": ZONES[zone], "zone": zone, "zones": ZONES,
            "listen": self.listen, "ip_address": self.ip,
            "internal_port_range": [ports[4], ports[4]],
            "platform": {"address": store},
            "limits": {
                "cpu_share": 0.86, "cores": 1, "link_mbps": 1000.0,
                "memory_mb": MEMORY_MB,
            },
            "bounds": BOUNDS,
        }  # fmt: skip
        self.process: asyncio.subprocess.Process | None = None
        self.largest_mb = 0.0
        self.ended: list[str] = []
        self._stopping = False
        self._task: asyncio.Future[None] | None = None

    def start(self) -> None:
        self._task = asyncio.ensure_future(self._keep_running())

    async def _keep_running(self) -> None:
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"]["gateway"]
        settings = self._folder / "boot"
        log = (self._folder / "log").open("ab")
        kept = {n: os.environ[n] for n in ("PATH", "HOME", "LANG") if n in os.environ}
        env = kept | {
            "PYTHONPATH": str(ROOT / "target/deps"),
            "SYCAMORENOTCH_NODE_FILE": str(settings),
        }
        while not self._stopping:
            template = (ROOT / role["template"]).read_text()
            settings.write_text(render(template, self._fields))
            self.process = await asyncio.create_subprocess_exec(
                *role["run"].split(" "), cwd=ROOT, env=env, stdout=log, stderr=log,
                stdin=asyncio.subprocess.DEVNULL,
            )  # fmt: skip
            self._record(f"platform started {self.name} as process {self.process.pid}")
            watch = asyncio.ensure_future(self._watch_memory(self.process))
            code = await self.process.wait()
            watch.cancel()
            if not self._stopping:
                self.ended.append(f"status {code}")
                self._record(f"platform saw {self.name} end with status {code}")
                await asyncio.sleep(0.5)

    # Counts private memory only, not the pages of the interpreter and of libraries.
    async def _watch_memory(self, process: asyncio.subprocess.Process) -> None:
        while True:
            try:
                text = Path(f"/proc/{process.pid}/status").read_text()
            except OSError:
                return
            found = re.search(r"RssAnon:\s+(\d+) kB", text)
            used_mb = int(found[1]) / 1024 if found else 0.0
            self.largest_mb = max(self.largest_mb, used_mb)
            if used_mb > MEMORY_MB:
                self._record(
                    f"platform kills {self.name}: {used_mb:.0f} MB used, "
                    f"{MEMORY_MB} MB allowed"
                )
                process.kill()
                return
            await asyncio.sleep(0.01)

    async def wait_ready(self, timeout_s: float = 30.0) -> bool:
        end = time.monotonic() + timeout_s
        while time.monotonic() < end:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.1)
        return False

    async def is_ready(self) -> bool:
        found = await call(self.listen["ready"], "GET", "/api/readiness", {}, b"", 1.0)
        return found.status == 200

    def signal(self, number: signal.Signals) -> None:
        if self.process is not None and self.process.returncode is None:
            self._record(f"platform sends {number.name} to {self.name}")
            self.process.send_signal(number)

    async def close(self, keep_log: Path | None = None) -> None:
        self._stopping = True
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
        if self._task is not None:
            await self._task
        if keep_log is not None:
            shutil.copy(self._folder / "log", keep_log)
        shutil.rmtree(self._folder)


class Answer:
    """What a client got; ``status`` is 0 if the connection ended without an answer."""

    def __init__(self, status: int, headers: dict[str, str], body: bytes, detail: str):
        self.status, self.headers, self.body, self.detail = (
            status,
            headers,
            body,
            detail,
        )


async def call(
    address: str, method: str, target: str, headers: dict[str, str], body: bytes,
    timeout_s: float, connection: Connection | None = None,
) -> Answer:  # fmt: skip
    """Send a request on a new connection, or on a kept one."""
    own = connection is None
    connection = connection or Connection(address)
    try:
        return await asyncio.wait_for(
            connection.exchange(method, target, headers, body), timeout_s
        )
    except TimeoutError:
        connection.close()
        return Answer(0, {}, b"", "no answer in time")
    except (OSError, asyncio.IncompleteReadError) as exc:
        connection.close()
        return Answer(0, {}, b"", f"the connection ended: {type(exc).__name__}")
    finally:
        if own:
            connection.close()


class Connection:
    """A client's connection, which it keeps for several requests."""

    all: ClassVar[list[Connection]] = []

    def __init__(self, address: str) -> None:
        self._host, _, port = address.rpartition(":")
        self._port = int(port)
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        self.all.append(self)

    async def exchange(
        self, method: str, target: str, headers: dict[str, str], body: bytes
    ) -> Answer:
        if self._streams is None:
            self._streams = await asyncio.open_connection(self._host, self._port)
        reader, writer = self._streams
        lines = [f"{method} {target} HTTP/1.1"]
        fields = {"Host": "jepu9.example"} | headers
        if body:
            fields["Content-Length"] = str(len(body))
        lines += [f"{name}: {value}" for name, value in fields.items()]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        await writer.drain()
        first, found = await read_head(reader)
        content = await read_body(reader, found)
        if found.get("connection", "").lower() == "close":
            self.close()
        return Answer(int(first.split(" ")[1]), found, content, "")

    def close(self) -> None:
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None


def configuration(routes: list[dict[str, Any]], services: list[str]) -> dict[str, Any]:
    """Return a configuration with the limits that `fleetbench wire` shows."""
    resources = [
        {
            "resource_kind": "routes",
            "metadata": {"name": f"r-{number}"},
            "specification": {
                "host": "jepu9.example", "target_latency": "600ms", "priority": 1,
                "max_attempts": 2, "sticky_sessions": False, "home_regions": [],
            } | route,
        }
        for number, route in enumerate(routes)
    ]  # fmt: skip
    resources += [
        {
            "resource_kind": "services",
            "metadata": {"name": name},
            "specification": {
                "health_check_path": "/health", "max_connections": 360,
                "protocol": "h1", "tls": False, "cold_start": "3s", "cold_per_s": 3.9,
            },
        }
        for name in services
    ]  # fmt: skip
    limits = {
        "max_header_bytes": 16384, "max_body_bytes": 67108864,
        "header_timeout": "3000ms", "idle_timeout": "15000ms",
    }  # fmt: skip
    limit = {"resource_kind": "limits", "metadata": {}, "specification": limits}
    return {"version": 7, "resources": [*resources, limit]}


def free_ports(host: str, count: int) -> list[int]:
    found = [socket.socket() for _ in range(count)]
    for item in found:
        item.bind((host, 0))
    ports = [item.getsockname()[1] for item in found]
    for item in found:
        item.close()
    return ports


def render(template: str, fields: dict[str, Any]) -> str:
    """Fill in the placeholders and the sections that the settings template uses."""

    def section(match: re.Match[str]) -> str:
        parts = []
        for key, value in fields[match[1]].items():
            part = match[2].replace("{{@}}", str(key)).replace("{{.}}", str(value))
            parts.append(part)
        return "".join(parts)

    def value(match: re.Match[str]) -> str:
        found: Any = fields
        for key in match[1].split("."):
            found = found[int(key)] if isinstance(found, list) else found[key]
        return str(found)

    text = re.sub(r"\{\{#(\w+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", value, text)


def run(main: Callable[[Record, Path], Awaitable[int]], folder: str) -> int:
    """Run a case; return 0 if the rule held, 1 if it broke, 2 if it could not run."""
    path = Path(folder).resolve()
    record = Record(path)
    record(f"begin, with{'' if TROUBLE else 'out'} the disruption")

    async def play() -> int:
        task = asyncio.current_task()
        assert task is not None
        # A case that is stopped ends its processes too.
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        try:
            return await asyncio.wait_for(main(record, path), MAX_SECONDS)
        finally:
            for connection in Connection.all:
                connection.close()
            await asyncio.sleep(0.1)

    try:
        code = asyncio.run(play())
    except (Exception, asyncio.CancelledError) as exc:
        record(f"could not run: {type(exc).__name__}: {exc}")
        print(f"could not run: {type(exc).__name__}: {exc}")
        return COULD_NOT_RUN
    verdict = ("the rule held", "the rule was broken", "the case could not run")[code]
    record(f"end: {verdict}")
    print(verdict)
    return code
