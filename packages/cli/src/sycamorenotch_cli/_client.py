"""Client of the operators' interface."""

from __future__ import annotations

import json
from dataclasses import dataclass
from datetime import timedelta
from typing import Any
from typing import final

import treq

REQUEST_TIMEOUT = timedelta(seconds=15)


@final
@dataclass(frozen=True, slots=True)
class Reply:
    """An answer of the operators' interface."""

    status: int
    body: Any

    @property
    def ok(self) -> bool:
        """Whether the request succeeded."""
        return self.status < 300


@final
class OperatorsClient:
    """Speaks to the operators' listener of one instance.

    :param url: base URL of the listener.
    :param token: bearer token.
    """

    def __init__(self, url: str, token: str) -> None:
        self._url = url.rstrip("/")
        self._token = token

    async def request(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
    ) -> Reply:
        """Send one request and decode the JSON answer."""
        response = await treq.request(
            method,
            self._url + path,
            data=body,
            headers={"Authorization": f"Bearer {self._token}", **(headers or {})},
            timeout=REQUEST_TIMEOUT.total_seconds(),
        )
        content = await treq.content(response)
        return Reply(response.code, json.loads(content) if content else None)
