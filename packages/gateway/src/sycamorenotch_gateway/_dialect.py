"""Port that translates between HTTP of callers and workers and kernel types."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol
from typing import final

from expression import Result

from sycamorenotch_kernel import ForwardCall
from sycamorenotch_kernel import Refusal
from sycamorenotch_kernel import WorkerReply
from sycamorenotch_transport import HttpRequest
from sycamorenotch_transport import HttpResponse
from sycamorenotch_transport import ResponseMatch


@final
@dataclass(frozen=True, slots=True)
class LookupQuery:
    """Look-up of a caller that asks which instances to use."""

    region: str
    data_centre: str


class Dialect(Protocol):
    """Encodes and decodes requests of callers and answers of workers."""

    def decode_call(self, request: HttpRequest) -> Result[ForwardCall, Refusal]:
        """Decode a caller's request."""
        ...

    def encode_attempt(
        self,
        call: ForwardCall,
        worker: str,
        remaining_s: float,
        customer: str | None = None,
    ) -> HttpRequest:
        """Encode a request for one worker.

        :param worker: identifier of the only worker that may run it.
        :param remaining_s: time left before the deadline, in seconds.
        :param customer: name of the customer that sent it, empty on a public route;
            none if the configuration has no customers, so that headers about
            customers pass unchanged.
        """
        ...

    def match_response(
        self, call: ForwardCall, response: HttpResponse
    ) -> ResponseMatch:
        """Return whether a worker's answer belongs to this request."""
        ...

    def decode_reply(self, response: HttpResponse) -> WorkerReply:
        """Decode a worker's answer."""
        ...

    def encode_reply(self, reply: WorkerReply) -> HttpResponse:
        """Encode a worker's answer for the caller."""
        ...

    def encode_refusal(self, call: str, refusal: Refusal) -> HttpResponse:
        """Encode a refusal.

        :param call: the caller's identifier of its request; may be empty.
        """
        ...

    def is_readiness_probe(self, request: HttpRequest) -> bool:
        """Whether a request is the platform's readiness probe."""
        ...

    def decode_lookup(self, request: HttpRequest) -> LookupQuery | None:
        """Decode a look-up; return ``None`` for any other request."""
        ...

    def encode_lookup(self, addresses: tuple[str, ...], ttl_s: float) -> HttpResponse:
        """Encode the answer to a look-up.

        :param ttl_s: time for which the caller may use it, in seconds.
        """
        ...
