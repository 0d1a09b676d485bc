"""Store adapter for the object API over HTTP."""

from __future__ import annotations

from base64 import b64decode
from collections.abc import Callable
from datetime import timedelta
from typing import Annotated
from typing import Any
from typing import TypeVar
from typing import final

import treq
from expression import Error
from expression import Ok
from expression import Result
from pydantic import BaseModel
from pydantic import BeforeValidator
from pydantic import ValidationError
from treq.client import HTTPClient
from twisted.internet.defer import CancelledError
from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectError
from twisted.web.client import Agent
from twisted.web.client import HTTPConnectionPool

from sycamorenotch_kernel import InstanceId
from sycamorenotch_kernel import InstanceState
from sycamorenotch_kernel import ListedInstance
from sycamorenotch_kernel import StoredObject
from sycamorenotch_kernel import StoreError
from sycamorenotch_kernel import StoreFault
from sycamorenotch_kernel import Version
from sycamorenotch_kernel import WatchResult
from sycamorenotch_kernel import store_adapters
from sycamorenotch_transport import BytesProducer

T = TypeVar("T")

# Added to the timeout of a watch: without a change, the answer is sent when that
# timeout expires and takes time to arrive.
WATCH_MARGIN = timedelta(seconds=5)

FAULTS_BY_STATUS = {404: StoreFault.NOT_FOUND, 412: StoreFault.CONFLICT}


class _ObjectModel(BaseModel):
    kind: str
    name: str
    version: int
    value: Annotated[
        bytes, BeforeValidator(lambda text: b64decode(text, validate=True))
    ]

    def to_stored_object(self) -> StoredObject:
        return StoredObject(self.kind, self.name, Version(self.version), self.value)


class _ObjectsModel(BaseModel):
    version: int
    objects: tuple[_ObjectModel, ...]


class _ErrorModel(BaseModel):
    detail: str = ""
    current: _ObjectModel | None = None


class _InstanceModel(BaseModel):
    id: str
    region: str
    data_centre: str
    callers: str
    peers: str
    state: InstanceState
    operators: str = ""

    def to_listed_instance(self) -> ListedInstance:
        values = self.model_dump()
        return ListedInstance(**{**values, "id": InstanceId(self.id)})


class _InstancesModel(BaseModel):
    instances: tuple[_InstanceModel, ...]


@store_adapters.register("http")
@final
class HttpStore:
    """Client of the object API, which also serves the platform's instance list.

    :param url: base URL of the object API.
    :param reactor: the reactor of the process.
    """

    def __init__(self, url: str, reactor: Any) -> None:
        self._url = url.rstrip("/")
        self._reactor = reactor
        self._pool = HTTPConnectionPool(reactor)
        self._client = HTTPClient(Agent(reactor, pool=self._pool))

    async def close(self) -> None:
        """Close the pooled connections."""
        await self._pool.closeCachedConnections()

    async def get(
        self, kind: str, name: str, timeout: timedelta
    ) -> Result[StoredObject, StoreError]:
        """Read one object."""
        path = f"/v1/objects/{kind}/{name}"
        return await self._call("GET", path, timeout, _decode_object)

    async def list(
        self, kind: str, timeout: timedelta
    ) -> Result[tuple[StoredObject, ...], StoreError]:
        """Read every object of a kind."""
        return await self._call("GET", f"/v1/objects/{kind}", timeout, _decode_objects)

    async def create(
        self, kind: str, name: str, value: bytes, timeout: timedelta
    ) -> Result[StoredObject, StoreError]:
        """Write an object that must not exist yet."""
        path = f"/v1/objects/{kind}/{name}"
        headers = {"If-None-Match": "*"}
        return await self._call("PUT", path, timeout, _decode_object, headers, value)

    async def update(
        self, kind: str, name: str, value: bytes, expected: Version, timeout: timedelta
    ) -> Result[StoredObject, StoreError]:
        """Replace an object if it has the expected version."""
        path = f"/v1/objects/{kind}/{name}"
        headers = {"If-Match": f'"{expected}"'}
        return await self._call("PUT", path, timeout, _decode_object, headers, value)

    async def delete(
        self, kind: str, name: str, expected: Version, timeout: timedelta
    ) -> Result[None, StoreError]:
        """Remove an object if it has the expected version."""
        path = f"/v1/objects/{kind}/{name}"
        headers = {"If-Match": f'"{expected}"'}
        return await self._call("DELETE", path, timeout, lambda _: None, headers)

    async def watch(
        self, kind: str, after: Version, timeout: timedelta
    ) -> Result[WatchResult, StoreError]:
        """Wait until an object changes after a version, or until the timeout."""
        path = f"/v1/watch/{kind}?after={after}&timeout_s={timeout.total_seconds()}"
        return await self._call("GET", path, timeout + WATCH_MARGIN, _decode_changes)

    async def instances(
        self, timeout: timedelta
    ) -> Result[tuple[ListedInstance, ...], StoreError]:
        """Read the platform's list of instances."""
        return await self._call("GET", "/v1/instances", timeout, _decode_instances)

    async def _call(
        self,
        method: str,
        path: str,
        timeout: timedelta,
        decode: Callable[[bytes], T],
        headers: dict[str, str] | None = None,
        body: bytes | None = None,
    ) -> Result[T, StoreError]:
        no_answer_fault = (
            StoreFault.UNAVAILABLE if method == "GET" else StoreFault.UNKNOWN
        )
        pending = Deferred.fromCoroutine(self._send(method, path, headers, body))
        pending.addTimeout(timeout.total_seconds(), self._reactor)
        try:
            status, content = await pending
        except CancelledError:
            raise
        except ConnectError as exc:
            return Error(StoreError(StoreFault.UNAVAILABLE, str(exc)))
        except Exception as exc:
            return Error(StoreError(no_answer_fault, f"{type(exc).__name__}: {exc}"))
        try:
            if status in (200, 201):
                return Ok(decode(content))
            return Error(_decode_error(status, content))
        except ValidationError as exc:
            return Error(
                StoreError(
                    no_answer_fault,
                    f"malformed answer: {exc.error_count()} validation errors",
                )
            )

    async def _send(
        self,
        method: str,
        path: str,
        headers: dict[str, str] | None,
        body: bytes | None,
    ) -> tuple[int, bytes]:
        response = await self._client.request(
            method,
            self._url + path,
            headers=headers,
            data=None if body is None else BytesProducer(body),
        )
        return response.code, await treq.content(response)


def _decode_object(content: bytes) -> StoredObject:
    return _ObjectModel.model_validate_json(content).to_stored_object()


def _decode_objects(content: bytes) -> tuple[StoredObject, ...]:
    model = _ObjectsModel.model_validate_json(content)
    return tuple(item.to_stored_object() for item in model.objects)


def _decode_changes(content: bytes) -> WatchResult:
    model = _ObjectsModel.model_validate_json(content)
    objects = tuple(item.to_stored_object() for item in model.objects)
    return WatchResult(objects, Version(model.version))


def _decode_instances(content: bytes) -> tuple[ListedInstance, ...]:
    model = _InstancesModel.model_validate_json(content)
    return tuple(item.to_listed_instance() for item in model.instances)


def _decode_error(status: int, content: bytes) -> StoreError:
    model = _ErrorModel.model_validate_json(content)
    fault = FAULTS_BY_STATUS.get(status, StoreFault.UNAVAILABLE)
    current = None if model.current is None else model.current.to_stored_object()
    return StoreError(fault, model.detail, current)
