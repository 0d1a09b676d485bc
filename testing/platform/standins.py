"""Stand-ins for the platform's store and workers, on loopback."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from typing import Any
from urllib.parse import parse_qs
from urllib.parse import unquote

import orjson
from twisted.internet import reactor
from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater

from sycamorenotch_transport import Http1Server
from sycamorenotch_transport import HttpRequest
from sycamorenotch_transport import HttpResponse
from sycamorenotch_transport import get_header

LOOPBACK = "127.0.0.1:0"
PAGE_SIZE = 2


def listen(handler) -> Http1Server:
    server = Http1Server(
        reactor, handler, lambda status, text: HttpResponse(status), lambda text: None
    )
    server.listen(LOOPBACK, 50)
    return server


def as_json(value: Any, status: int = 200) -> HttpResponse:
    headers = (("Content-Type", "application/json"),)
    return HttpResponse(status, headers, orjson.dumps(value))


@dataclass(frozen=True)
class StoreCopy:
    """State of a :class:`StandInStore` at one moment."""

    revision: int
    oldest: int
    objects: dict[tuple[str, str], dict]
    changes: list[tuple[int, str, dict, bool]]


class StandInStore:
    """A store of objects by kind and name, with revisions, pages and watches.

    While ``drops_watch_events`` is set, a new watch waits even if the store has
    changes to return or has discarded its history. While ``silent`` is set, nothing is
    answered; what was asked meanwhile is not answered afterwards either.
    """

    def __init__(self) -> None:
        self.era = 1
        self.states_era = True
        self.revision = 10
        self.oldest = 10
        self.down = False
        self.drops_watch_events = False
        self.silent = False
        self.delay_s = 0.0
        self.objects: dict[tuple[str, str], dict] = {}
        self.changes: list[tuple[int, str, dict, bool]] = []
        self.calls: list[str] = []
        self._pending_watches: list[tuple[str, int, Deferred]] = []
        self.server = listen(self._handle)

    def put(self, kind: str, name: str, specification: Any) -> None:
        self.revision += 1
        metadata = {"name": name, "revision": self.revision, "finalizers": []}
        item = {"metadata": metadata, "specification": specification, "status": None}
        self.objects[kind, name] = item
        self._record_change(kind, item, deleted=False)

    def remove(self, kind: str, name: str) -> None:
        self.revision += 1
        self._record_change(kind, self.objects.pop((kind, name)), deleted=True)

    def copy(self) -> StoreCopy:
        return StoreCopy(
            self.revision, self.oldest, dict(self.objects), list(self.changes)
        )

    def restore(self, copy: StoreCopy, cut_watches: bool = True) -> None:
        """Go back to a copy; later writes are lost and their revisions given again.

        :param cut_watches: whether the waiting watches end; otherwise they wait on.
        """
        self.era += 1
        self.revision, self.oldest = copy.revision, copy.oldest
        self.objects, self.changes = dict(copy.objects), list(copy.changes)
        if cut_watches:
            self.cut_watches(503)

    def discard_history(self) -> None:
        self.oldest = self.revision + 1
        self.revision += 1
        self.cut_watches()

    def cut_watches(self, status: int = 410) -> None:
        pending, self._pending_watches = self._pending_watches, []
        for _, _, answer in pending:
            if not answer.called:
                answer.callback(as_json({}, status))

    def _record_change(self, kind: str, item: dict, deleted: bool) -> None:
        self.changes.append((self.revision, kind, item, deleted))
        ready = [entry for entry in self._pending_watches if entry[0] == kind]
        self._pending_watches = [
            entry for entry in self._pending_watches if entry[0] != kind
        ]
        for _, after, answer in ready:
            if not answer.called:
                answer.callback(self._events(kind, after))

    def _events(self, kind: str, after: int) -> HttpResponse:
        events = [
            {"object": item, "deleted": deleted}
            for revision, found, item, deleted in self.changes
            if found == kind and revision > after
        ]
        return as_json({"events": events, "at": self.revision})

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        answer = await self._answer(request)
        era = (("Store-Era", str(self.era)),) if self.states_era else ()
        return replace(answer, headers=(*answer.headers, *era))

    async def _answer(self, request: HttpRequest) -> HttpResponse:
        path, _, text = request.target.partition("?")
        query = {name: values[0] for name, values in parse_qs(text).items()}
        kind, _, name = path.removeprefix("/api/objects/").partition("/")
        self.calls.append(f"{request.method} {kind}")
        if self.silent:
            return await Deferred()
        if self.delay_s:
            await deferLater(reactor, self.delay_s, lambda: None)
        if self.down:
            return HttpResponse(503)
        if request.method == "GET" and "watch" in query:
            wait_s = int(query["wait_ms"]) / 1000
            return await self._watch(kind, int(query["watch"]), wait_s)
        if request.method == "GET":
            return self._list(kind, query.get("after", ""))
        body = orjson.loads(request.body) if request.body else {}
        name = unquote(name) or body["metadata"]["name"]
        if request.method == "POST" and (kind, name) in self.objects:
            return as_json(self.objects[kind, name], 409)
        if request.method == "DELETE":
            self.remove(kind, name)
            return as_json({})
        self.put(kind, name, body["specification"])
        return as_json(self.objects[kind, name])

    def _list(self, kind: str, after: str) -> HttpResponse:
        names = sorted(n for k, n in self.objects if k == kind and n > after)
        items = [self.objects[kind, name] for name in names[:PAGE_SIZE]]
        more = len(names) > PAGE_SIZE
        return as_json({"items": items, "has_more": more, "at": self.revision})

    async def _watch(self, kind: str, after: int, wait_s: float) -> HttpResponse:
        if not self.oldest <= after <= self.revision and not self.drops_watch_events:
            return as_json({}, 410)
        known = any(found == kind and rev > after for rev, found, _, _ in self.changes)
        if known and not self.drops_watch_events:
            return self._events(kind, after)
        answer: Deferred[HttpResponse] = Deferred(lambda _: None)
        self._pending_watches.append((kind, after, answer))
        answer.addTimeout(wait_s, reactor, lambda result, _: self._events(kind, after))
        return await answer


@dataclass
class StandInWorker:
    """A worker that runs, sheds or fails requests, or does not answer them.

    :param mode: ``run``; ``shed``: answer 503 without running the request; ``fail``:
        run it and answer 500; ``cut``: run it and abort the connections;
        ``silent``: run it and never answer; ``slow``: answer after ``delay_s``
        seconds; ``stranger``: answer 421, as another worker at this address does.
    :param rate_limit: limit that its answers name, in requests per second.
    :param slowdown: fourth figure of its load reports; they have three without it.
    :param leaving: whether its answers say that it is about to stop.
    :param retry_after: pause that it asks for when it sheds a request, in seconds.
    """

    name: str
    service: str = "s"
    zone: str = "a"
    slots: int = 4
    mode: str = "run"
    born: int = 1
    state: str = "ready"
    delay_s: float = 0.0
    rate_limit: str = ""
    slowdown: str = ""
    leaving: bool = False
    retry_after: str = ""
    ran: list[str] = field(default_factory=list)
    requests: list[HttpRequest] = field(default_factory=list)
    arrivals: list[float] = field(default_factory=list)
    cancelled: int = 0
    opened: int = 0

    def __post_init__(self) -> None:
        self.server = listen(self._handle)
        original = self.server.buildProtocol

        def count_and_build(address: Any) -> Any:
            self.opened += 1
            return original(address)

        self.server.buildProtocol = count_and_build  # type: ignore[method-assign]

    @property
    def entry(self) -> dict[str, Any]:
        return {
            "service": self.service,
            "address": self.server.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold_remaining": "0ms",
            "sequence": 1,
            "born": self.born,
        }

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        self.requests.append(request)
        self.arrivals.append(reactor.seconds())
        attempt = get_header(request.headers, "x-attempt-id")
        echo = ("X-Attempt-Id", attempt)
        expected = get_header(request.headers, "x-expected-instance")
        if self.mode == "stranger" or expected != self.name:
            return HttpResponse(421, (("X-Instance-Id", "i-other"),))
        leaving = (("Server-Leaving", "1"),) if self.leaving else ()
        if self.mode == "shed":
            pause = (("Retry-After", self.retry_after),) if self.retry_after else ()
            return HttpResponse(503, (echo, ("X-Not-Executed", "1"), *leaving, *pause))
        self.ran.append(attempt)
        if self.mode == "silent":
            return await Deferred(lambda _: self._cancel())
        if self.mode == "slow":
            await deferLater(reactor, self.delay_s, lambda: None)
        if self.mode == "cut":
            for connection in tuple(self.server.connections):
                connection.transport.abortConnection()
        status = 500 if self.mode == "fail" else 200
        signed = ("X-Response-Signature", f"{self.name}.1")
        figures = f"1,0,{self.slots}" + (f",{self.slowdown}" if self.slowdown else "")
        load = ("X-Server-Load", figures)
        headers = (echo, signed, load, *leaving)
        if self.rate_limit:
            headers += (("Server-Limit", self.rate_limit),)
        return HttpResponse(status, headers, self.name.encode())

    def _cancel(self) -> None:
        self.cancelled += 1
