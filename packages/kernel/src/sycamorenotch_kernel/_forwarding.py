"""Types of HTTP forwarding: routes, workers, requests, replies and refusals."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from enum import Enum
from enum import unique
from hashlib import blake2b
from typing import final

from sycamorenotch_kernel._calls import Headers
from sycamorenotch_kernel._errors import ANSWERS
from sycamorenotch_kernel._errors import ErrorKind
from sycamorenotch_kernel._errors import Ran

KEY_DIGEST_BYTES = 16
# Guarantees that the request has not run and never will.
NOT_RUN_STATUS = 503
# The request itself cannot be served; these statuses are returned as they are.
CALLER_ERROR_STATUSES = frozenset({400, 401, 404, 405, 408, 413, 429, 431})
# States nothing about execution: the outcome of the request is unknown.
UNKNOWN_OUTCOME_STATUS = 502


@final
@unique
class RequestKind(Enum):
    """Kind of the requests on a route, which decides whether they may be repeated."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    DOWNLOAD = "download"

    @property
    def repeatable(self) -> bool:
        """Whether a request is idempotent, so that it may run more than once."""
        return self is not RequestKind.UNSAFE


@final
@dataclass(frozen=True, slots=True)
class WeightedService:
    """One service of a route and its share of the route's requests.

    :param weight: share relative to the sum of the weights of the route; not
        negative.
    """

    service: str
    weight: float


@final
@dataclass(frozen=True, slots=True)
class ForwardingRoute:
    """Where the requests of one host and path prefix go.

    :param prefix: path prefix, which begins and ends with a slash.
    :param services: services among which the requests are split by weight.
    :param timeout_s: time limit of a request, if the route has one.
    :param target_latency_s: latency up to which an answer has its full value.
    :param priority: rank among the routes of a service; 0 is the highest.
    :param attempts: largest number of workers that one request may be sent to.
    :param sticky: whether requests for the same object prefer the same worker,
        which answers faster for objects that it has cached.
    :param homes: regions that may serve the route; empty if every region may.
    :param public: whether callers need no key.
    """

    name: str
    host: str
    prefix: str
    kind: RequestKind
    services: tuple[WeightedService, ...]
    timeout_s: float | None = None
    target_latency_s: float = 1.0
    priority: int = 0
    attempts: int = 1
    sticky: bool = False
    homes: frozenset[str] = frozenset()
    public: bool = False


@final
@dataclass(frozen=True, slots=True)
class Customer:
    """A customer, whose callers identify themselves with keys.

    :param key_digests: digests of its keys, by :func:`digest_key`.
    :param priority: rank of its requests, in place of the route's; none if the
        route's applies.
    :param rate: requests per second that it may send to all instances together; 0 if
        unlimited.
    :param burst: requests that it may send on top of the rate.
    :param homes: regions that may serve it; empty if every region may.
    """

    name: str
    key_digests: frozenset[str]
    priority: int | None = None
    rate: float = 0.0
    burst: float = 0.0
    homes: frozenset[str] = frozenset()


def digest_key(key: str) -> str:
    """Return the digest of a caller's key, as only digests are stored and compared."""
    return blake2b(key.encode(), digest_size=KEY_DIGEST_BYTES).hexdigest()


@final
@dataclass(frozen=True, slots=True)
class ServiceLimits:
    """Limits of the workers of a service.

    :param connections: connections that one worker accepts from all instances
        together; 0 if unlimited.
    :param cold_s: length of the cold start of a worker, in seconds.
    :param cold_rate: requests per second that a worker accepts during its cold
        start; 0 if unknown.
    """

    name: str
    connections: int = 0
    cold_s: float = 0.0
    cold_rate: float = 0.0


@final
@dataclass(frozen=True, slots=True)
class ClientLimits:
    """Limits on the size and duration of what a client sends.

    :param header_bytes: largest size of the request line and headers.
    :param body_bytes: largest size of a request body.
    :param header_timeout_s: longest time to receive the headers.
    :param idle_timeout_s: idle time after which a connection is closed.
    """

    header_bytes: int = 16_384
    body_bytes: int = 67_108_864
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@final
@dataclass(frozen=True, slots=True)
class ForwardingConfiguration:
    """One version of the routes, services, customers and limits.

    :param version: version number that the operator wrote into the object. It rises
        with each configuration.
    :param revision: revision of the object in the store, for the log.
    :param services: limits of each service by its name.
    :param customers: customers with keys; if there are none, callers need no key.
    """

    version: int
    revision: int
    routes: tuple[ForwardingRoute, ...]
    services: Mapping[str, ServiceLimits]
    limits: ClientLimits
    customers: tuple[Customer, ...] = ()


@final
@dataclass(frozen=True, slots=True)
class WorkerEntry:
    """A worker's registration in the store.

    :param address: ``IP:port`` of the worker.
    :param slots: number of requests that it processes at the same time.
    :param draining: whether it accepts no new requests.
    :param cold_s: seconds left of its cold start when the entry was written.
    :param incarnation: start time in Unix milliseconds; a changed value means
        that the worker restarted and kept no state from before.
    """

    id: str
    service: str
    address: str
    data_centre: str
    slots: int
    draining: bool
    cold_s: float = 0.0
    incarnation: int = 0


@final
@dataclass(frozen=True, slots=True)
class Resources:
    """Machine resources that an instance has or uses.

    :param processors: number of cores at full speed.
    :param link_mbps: network throughput in megabits per second, in the busier
        direction.
    """

    processors: float
    link_mbps: float


@final
@dataclass(frozen=True, slots=True)
class PeerEntry:
    """An instance's own registration.

    :param callers: ``IP:port`` of the listener for callers.
    :param gossip: ``IP:port`` where it sends and receives gossip datagrams.
    :param started: start time in Unix milliseconds, which orders incarnations.
    :param leaving: whether the instance is about to stop.
    """

    id: str
    region: str
    data_centre: str
    callers: str
    gossip: str
    started: int
    leaving: bool = False


@final
@dataclass(frozen=True, slots=True)
class ForwardCall:
    """One request of a caller, independent of any encoding.

    :param id: identifier that the caller gave this attempt; empty if none.
    :param target: path and query as received.
    :param headers: end-to-end headers, in their original order.
    :param object_key: key of the object that the request concerns, for sticky
        routing; empty if none.
    :param patience_s: time left until the caller's own timeout, in seconds, if
        the caller states it.
    :param key_digest: digest of the caller's key; empty if it sent none.
    """

    id: str
    host: str
    method: str
    target: str
    headers: Headers
    body: bytes
    object_key: str = ""
    patience_s: float | None = None
    key_digest: str = ""

    @property
    def path(self) -> str:
        """The path of the target, without the query."""
        return self.target.partition("?")[0]


@final
@dataclass(frozen=True, slots=True)
class LoadReport:
    """Load that a worker reports with an answer.

    :param running: requests that the worker is processing.
    :param waiting: requests in the worker's queue.
    :param slots: number of requests that it processes at the same time.
    :param slowdown: how long work takes on its machine at this moment, as a multiple
        of the usual time; none if the worker does not state it.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float | None = None


@final
@unique
class Verdict(Enum):
    """Classification of the result of one attempt.

    ``STRANGER`` means that the address now belongs to another worker;
    ``BROKEN`` leaves the outcome of the request unknown.
    """

    ANSWER = "an answer of the worker"
    FAULT = "the worker's own failure after it ran the request"
    NOT_RUN = "the worker states that it did not run the request"
    STRANGER = "another worker has the address"
    BROKEN = "a failure that states nothing"


@final
@dataclass(frozen=True, slots=True)
class WorkerReply:
    """A worker's decoded answer.

    :param status: HTTP status code.
    :param reason: HTTP reason phrase.
    :param headers: end-to-end headers, in their original order.
    :param load: the worker's load, if the answer reports it.
    :param rate_limit: requests per second that the worker takes from all instances
        together; none if it states no limit.
    :param leaving: whether the worker says that it is about to stop.
    :param pause_s: time for which the worker wants no requests of this instance, in
        seconds; none if it states none.
    :param ignored_load: the load as the worker states it, if any of its figures is
        malformed or absurd and therefore ignored; empty otherwise.
    """

    verdict: Verdict
    status: int
    reason: str
    headers: Headers
    body: bytes
    load: LoadReport | None = None
    rate_limit: float | None = None
    leaving: bool = False
    pause_s: float | None = None
    ignored_load: str = ""


@final
@dataclass(frozen=True, slots=True)
class Refusal:
    """Why a caller gets an error in place of a worker's answer.

    :param ran: what is known about the execution of the request.
    :param detail: explanation for operators, which is logged.
    :param retry_after_s: seconds after which a retry may succeed, if known.
    """

    kind: ErrorKind
    ran: Ran
    detail: str
    retry_after_s: float | None = None

    @property
    def status(self) -> int:
        """HTTP status that claims no more about execution than is known."""
        status = ANSWERS[self.kind].status
        if self.ran is Ran.NO:
            return status if status in CALLER_ERROR_STATUSES else NOT_RUN_STATUS
        return UNKNOWN_OUTCOME_STATUS if status == NOT_RUN_STATUS else status


@final
@dataclass(frozen=True, slots=True)
class Placement:
    """Location of this instance, and the region of each data centre.

    :param region: region of this instance.
    :param data_centre: data centre of this instance.
    :param regions: region by data centre.
    """

    region: str
    data_centre: str
    regions: Mapping[str, str] = field(default_factory=dict)

    def region_of(self, data_centre: str) -> str:
        """Return the region of a data centre, or an empty string if unknown."""
        return self.regions.get(data_centre, "")
