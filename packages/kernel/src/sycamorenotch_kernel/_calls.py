"""A caller's request and its answer, independent of any encoding."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from datetime import timedelta
from typing import ClassVar
from typing import Protocol
from typing import final

from expression import Result

from sycamorenotch_kernel._decisions import Fact
from sycamorenotch_kernel._environment import Rank
from sycamorenotch_kernel._environment import Route
from sycamorenotch_kernel._errors import Failure
from sycamorenotch_kernel._identifiers import DecisionId

Headers = tuple[tuple[str, str], ...]


@final
@dataclass(slots=True)
class Call:
    """One request of a caller and its state while the stages handle it.

    :param route: route of the document that matches the path.
    :param path: path and query relative to the service, starting with ``/``.
    :param headers: end-to-end headers only.
    :param client: IP address of the caller.
    :param key: idempotency key, if the request has one.
    :param deadline: time on the monotonic clock after which the answer is
        useless to the caller.
    :param generation: configuration generation in force for the call.
    :param reasons: whole sentences that stages add to the decision record.
    :param facts: inputs that stages add to the decision record.
    :param signature: digest that identifies the content of the request; empty
        until a stage sets it.
    :param tried: names of the workers that the call was sent to, in order.
    :param upstream_time: duration of the last attempt at its worker.
    """

    id: DecisionId
    route: Route
    method: str
    path: str
    headers: Headers
    body: bytes
    client: str
    key: str | None
    deadline: timedelta
    generation: int
    reasons: list[str] = field(default_factory=list)
    facts: list[Fact] = field(default_factory=list)
    signature: str = ""
    tried: list[str] = field(default_factory=list)
    upstream_time: timedelta | None = None

    @property
    def rank(self) -> Rank:
        """Rank of the route."""
        return self.route.rank

    def add_reason(self, reason: str, **facts: object) -> None:
        """Add a reason and its inputs to the decision record of the call."""
        self.reasons.append(reason)
        self.facts.extend(Fact(name, str(value)) for name, value in facts.items())


@final
@dataclass(frozen=True, slots=True)
class CallAnswer:
    """An answer of an upstream.

    :param status: HTTP status code.
    :param headers: end-to-end headers only.
    :param answers: identifier of the request that the upstream states in its
        answer; empty if it states none.
    :param length: announced length of the body in bytes, if it was announced.
    """

    status: int
    headers: Headers
    body: bytes
    answers: str = ""
    length: int | None = None

    def belongs_to(self, call: Call) -> bool:
        """Return whether the answer is complete and not that of another call."""
        whole = self.length is None or self.length == len(self.body)
        return whole and self.answers in ("", call.id)


CallResult = Result[CallAnswer, Failure]
Proceed = Callable[[Call], Awaitable[CallResult]]


class CallStage(Protocol):
    """A middleware step that handles every call.

    A stage refuses the call with a failure, or awaits ``proceed`` and returns
    its result. ``after`` names the stages that must run before this one.
    """

    after: ClassVar[tuple[str, ...]]

    async def run(self, call: Call, proceed: Proceed) -> CallResult:
        """Handle one call.

        :param proceed: runs the remaining stages.
        """
        ...
