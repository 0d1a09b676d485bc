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
    """One request of a caller on its way through the stages.

    :param route: the document's route for the path.
    :param path: path and query below the service, starting with ``/``.
    :param headers: end-to-end headers only.
    :param client: IP number of the caller.
    :param deadline: moment on the monotonic clock after which the answer is
        of no use.
    :param reasons: whole sentences that stages add for the record.
    :param facts: inputs that stages add for the record.
    :param signature: digest of what the request asks for, if a stage set it.
    :param tried: names of the workers that the call was sent to.
    :param upstream_time: time that the last attempt spent at its worker.
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
        """The rank of the route."""
        return self.route.rank

    def note(self, reason: str, **facts: object) -> None:
        """Add a reason and its inputs to the record of the call."""
        self.reasons.append(reason)
        self.facts.extend(Fact(name, str(value)) for name, value in facts.items())


@final
@dataclass(frozen=True, slots=True)
class CallAnswer:
    """A whole answer of an upstream.

    :param headers: end-to-end headers only.
    :param answers: identifier of the request that the upstream says it
        answers; empty if it says nothing.
    :param length: number of body bytes that the upstream announced, if it did.
    """

    status: int
    headers: Headers
    body: bytes
    answers: str = ""
    length: int | None = None

    def belongs_to(self, call: Call) -> bool:
        """Whether the answer is whole and is not one to another request."""
        whole = self.length is None or self.length == len(self.body)
        return whole and self.answers in ("", call.id)


CallResult = Result[CallAnswer, Failure]
Proceed = Callable[[Call], Awaitable[CallResult]]


class CallStage(Protocol):
    """A step that every call passes through.

    A stage refuses the call with a failure, or awaits ``proceed`` and hands
    on the result. Stages are ordered by what they name in ``after``.
    """

    after: ClassVar[tuple[str, ...]]

    async def run(self, call: Call, proceed: Proceed) -> CallResult:
        """Handle one call."""
        ...
