"""HTTP client of the operators' API."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from typing import TypeVar
from typing import final

import treq
from expression import Error
from expression import Ok
from expression import Result
from pydantic import BaseModel
from pydantic import ValidationError

REQUEST_TIMEOUT = timedelta(seconds=15)
PEER_TIMEOUT = timedelta(seconds=3)

M = TypeVar("M", bound=BaseModel)


class _ProblemModel(BaseModel):
    title: str
    detail: str
    kind: str


@final
@dataclass(frozen=True, slots=True)
class ApiError:
    """Error response, or failure to get a valid response.

    :param kind: error kind, or empty if there was no valid response.
    :param unreachable: whether there was no valid response.
    """

    kind: str
    title: str
    detail: str
    unreachable: bool = False


@final
@dataclass(frozen=True, slots=True)
class ChangeMetadata:
    """Metadata of a write, sent as headers.

    :param author: name recorded in the history.
    :param expected: generation that the write replaces, or None for a new document
        or a drain.
    :param source: environment and generation of a copied document.
    """

    author: str
    expected: int | None = None
    source: str = ""

    def headers(self) -> dict[str, str]:
        """Return the request headers, without empty ones."""
        headers = {"Author": self.author, "Copied-From": self.source}
        if self.expected is not None:
            headers["If-Match"] = f'"{self.expected}"'
        return {name: value for name, value in headers.items() if value}


@final
class OperatorsClient:
    """Client of the operators' listener of one instance.

    :param url: base URL of the listener.
    :param token: bearer token.
    :param timeout: timeout of one request.
    """

    def __init__(
        self, url: str, token: str, timeout: timedelta = REQUEST_TIMEOUT
    ) -> None:
        self.url = url.rstrip("/")
        self._token = token
        self._timeout = timeout

    def peer(self, address: str) -> OperatorsClient:
        """Return a client of another instance, with the same token.

        :param address: ``IP:port`` of its operators' listener.
        """
        scheme = self.url.partition("://")[0]
        return OperatorsClient(f"{scheme}://{address}", self._token, PEER_TIMEOUT)

    async def get(self, path: str, model: type[M]) -> Result[M, ApiError]:
        """Send a GET request and validate the response.

        :return: the response, or the error that took its place.
        """
        return await self._request("GET", path, model, {}, None)

    async def send(
        self,
        method: str,
        path: str,
        model: type[M],
        change: ChangeMetadata,
        body: bytes = b"",
    ) -> Result[M, ApiError]:
        """Send a write request and validate the response.

        :return: the response, or the error that took its place.
        """
        return await self._request(method, path, model, change.headers(), body)

    async def _request(
        self,
        method: str,
        path: str,
        model: type[M],
        headers: dict[str, str],
        body: bytes | None,
    ) -> Result[M, ApiError]:
        try:
            response = await treq.request(
                method,
                self.url + path,
                data=body,
                headers={"Authorization": f"Bearer {self._token}", **headers},
                timeout=self._timeout.total_seconds(),
            )
            content = await treq.content(response)
        except Exception as exc:
            detail = f"{self.url} cannot be reached: {type(exc).__name__}: {exc}"
            return Error(ApiError("", "", detail, unreachable=True))
        try:
            if response.code < 300:
                return Ok(model.model_validate_json(content))
            problem = _ProblemModel.model_validate_json(content)
        except ValidationError:
            detail = f"{self.url} answered status {response.code} in an unknown format"
            return Error(ApiError("", "", detail, unreachable=True))
        return Error(ApiError(problem.kind, problem.title, problem.detail))
