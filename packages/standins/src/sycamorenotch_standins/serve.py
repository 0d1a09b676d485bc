"""Runs a stand-in as a separate process."""

from __future__ import annotations

import json
from datetime import timedelta

from absl import app
from absl import flags
from twisted.internet import reactor
from twisted.internet.endpoints import TCP4ServerEndpoint
from twisted.web.resource import IResource
from twisted.web.server import Site

from sycamorenotch_standins._objects import ObjectTable
from sycamorenotch_standins._store_api import StoreApi
from sycamorenotch_standins._upstream import UpstreamWorker
from sycamorenotch_transport import install_literal_resolver

LOOPBACK = "127.0.0.1"

ROLE = flags.DEFINE_enum("role", "store", ["store", "upstream"], "Stand-in to run.")
PORT = flags.DEFINE_integer(
    "port", 0, "Port on the loopback interface; 0 for a free one."
)
NAME = flags.DEFINE_string("name", "worker-1", "Name of the upstream worker.")
SLOTS = flags.DEFINE_integer("slots", 4, "Concurrent requests of the worker.")
SERVICE_TIME_MS = flags.DEFINE_float(
    "service_time_ms", 5.0, "Duration of one request, in milliseconds."
)
INSTANCES = flags.DEFINE_string(
    "instances", "[]", "Entries of the instance list, as a JSON list."
)


def main() -> None:
    """Run the stand-in until the process is terminated."""
    app.run(_run)


def _run(argv: list[str]) -> None:
    install_literal_resolver(reactor)
    site = Site(_resource())
    site.displayTracebacks = False
    endpoint = TCP4ServerEndpoint(reactor, PORT.value, interface=LOOPBACK)
    endpoint.listen(site).addCallbacks(_listening, _failed)
    reactor.run()


def _resource() -> IResource:
    if ROLE.value == "upstream":
        service_time = timedelta(milliseconds=SERVICE_TIME_MS.value)
        return UpstreamWorker(
            NAME.value, SLOTS.value, service_time, reactor
        ).app.resource()
    api = StoreApi(ObjectTable(), reactor)
    for item in json.loads(INSTANCES.value):
        api.instances[item["id"]] = item
    return api.app.resource()


def _listening(port: object) -> None:
    print(json.dumps({"ready": True, "url": _url(port)}), flush=True)


def _url(port: object) -> str:
    return f"http://{LOOPBACK}:{port.getHost().port}"  # type: ignore[attr-defined]


def _failed(failure: object) -> None:
    print(failure, flush=True)
    reactor.stop()


if __name__ == "__main__":
    main()
