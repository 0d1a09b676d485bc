"""Fault injection in the stand-ins."""

from __future__ import annotations

from typing import Generic
from typing import Literal
from typing import TypeVar
from typing import final

from pydantic import BaseModel
from pydantic import ConfigDict
from pydantic import Field

UpstreamMode = Literal["none", "slow", "crash", "cut", "drain", "shed"]
StoreMode = Literal["none", "down", "slow", "lose_answers"]

DEFAULT_DELAY_S = 1.0

M = TypeVar("M", bound=str)


class FaultRequest(BaseModel, Generic[M]):
    """Body of ``POST /fault``.

    :param mode: kind of fault; ``none`` ends the current one.
    :param seconds: delay in the mode ``slow``.
    :param count: number of requests that the fault affects; all if absent.
    """

    model_config = ConfigDict(extra="forbid")

    mode: M
    seconds: float = Field(default=DEFAULT_DELAY_S, ge=0, le=3600)
    count: int | None = Field(default=None, ge=1)


class UpstreamFaultRequest(FaultRequest[UpstreamMode]):
    """A fault of an upstream worker.

    ``slow`` delays the response, ``crash`` aborts the connection, ``cut`` sends half of
    the response body, ``shed`` answers 503 without running the request, and ``drain``
    does the same and reports the worker as leaving.

    :param path: path of the requests that the fault affects; all if absent.
    """

    path: str | None = None


class StoreFaultRequest(FaultRequest[StoreMode]):
    """A fault of the object API.

    ``down`` answers 503, ``slow`` delays the call, and ``lose_answers`` executes the
    call and aborts the connection in place of a response.
    """


@final
class FaultInjector:
    """Holds the current fault and the number of requests it still affects."""

    def __init__(self) -> None:
        self._mode = "none"
        self._remaining: int | None = None
        self._path: str | None = None
        self.seconds = DEFAULT_DELAY_S

    @property
    def mode(self) -> str:
        """The current mode; reading it does not count a request."""
        return self._mode

    def set(
        self, mode: str, seconds: float, count: int | None, path: str | None = None
    ) -> None:
        """Replace the current fault."""
        self._path = path
        self._mode = mode
        self.seconds = seconds
        self._remaining = count

    def next_mode(self, path: str | None = None) -> str:
        """Return the mode that applies to a request and count the request.

        :param path: path of the request, if it has one.
        """
        if self._path is not None and self._path != path:
            return "none"
        if self._mode == "none" or self._remaining is None:
            return self._mode
        applied = self._mode
        self._remaining -= 1
        if self._remaining <= 0:
            self._mode = "none"
        return applied
