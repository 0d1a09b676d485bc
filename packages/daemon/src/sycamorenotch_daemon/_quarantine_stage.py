"""Refuses requests that have made several workers fail."""

from __future__ import annotations

from typing import ClassVar
from typing import final

from expression import Error

from sycamorenotch_daemon._call_events import QuarantineEntered
from sycamorenotch_daemon._call_events import QuarantineRefused
from sycamorenotch_daemon._node import Node
from sycamorenotch_kernel import Call
from sycamorenotch_kernel import CallResult
from sycamorenotch_kernel import ErrorKind
from sycamorenotch_kernel import Failure
from sycamorenotch_kernel import Proceed
from sycamorenotch_kernel import Ran
from sycamorenotch_kernel import call_stages
from sycamorenotch_policies import Quarantine
from sycamorenotch_policies import Signature
from sycamorenotch_policies import sign_request


@call_stages.register("quarantine")
@final
class QuarantineStage:
    """Computes the signature of each call and refuses quarantined ones."""

    after: ClassVar[tuple[str, ...]] = ("demand",)

    def __init__(self, node: Node) -> None:
        self._node = node
        self._quarantine = Quarantine(node.settings.instance)
        node.provide(Quarantine, self._quarantine)

    async def run(self, call: Call, proceed: Proceed) -> CallResult:
        """Refuse the call if it is quarantined, or else run it.

        An event is emitted if the call enters quarantine while it runs.
        """
        service, method = call.route.service, call.method
        signature = sign_request(service, method, call.path, call.body)
        call.signature = signature
        remaining = self._quarantine.remaining(signature, self._node.clock.monotonic())
        if remaining is not None:
            seconds = remaining.total_seconds()
            self._node.sink.emit(QuarantineRefused(call.id, signature, seconds))
            # An earlier attempt under the same key may have run before the
            # connection to its worker was lost.
            ran = Ran.NO if call.key is None else Ran.UNKNOWN
            detail = "the same request has made several workers fail"
            return Error(Failure(ErrorKind.QUARANTINED, detail, ran, remaining))
        result = await proceed(call)
        self._report(call)
        return result

    def _report(self, call: Call) -> None:
        now = self._node.clock.monotonic()
        signature = Signature(call.signature)
        if self._quarantine.remaining(signature, now) is not None:
            last = call.tried[-1] if call.tried else ""
            self._node.sink.emit(QuarantineEntered(call.id, signature, last))
            call.add_reason("The request was quarantined.", signature=signature)
