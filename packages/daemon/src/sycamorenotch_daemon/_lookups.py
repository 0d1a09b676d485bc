"""Handles look-up requests over HTTP."""

from __future__ import annotations

import json
from ipaddress import IPv4Address
from ipaddress import IPv6Address
from ipaddress import ip_address
from typing import final

from expression import Error
from expression import Ok
from expression import Result
from twisted.web.http import Request

from sycamorenotch_daemon._events import LookupAnswered
from sycamorenotch_daemon._instances import InstanceView
from sycamorenotch_daemon._node import Node
from sycamorenotch_daemon._node import ServedConfiguration
from sycamorenotch_daemon._plan_view import PlanView
from sycamorenotch_daemon._problems import write_problem
from sycamorenotch_kernel import DecisionId
from sycamorenotch_kernel import DecisionKind
from sycamorenotch_kernel import DecisionRecord
from sycamorenotch_kernel import ErrorKind
from sycamorenotch_kernel import Fact
from sycamorenotch_kernel import Failure
from sycamorenotch_policies import LookupAnswer
from sycamorenotch_policies import LookupTable

MAX_CACHED_ANSWERS = 4096


@final
class Lookups:
    """Decides look-ups, encodes their answers and caches the encoded ones.

    :param node: context of the daemon.
    """

    def __init__(self, node: Node) -> None:
        self._node = node
        self._instance_view = node.require(InstanceView)  # type: ignore[type-abstract]
        self._plan_view = node.find(PlanView)  # type: ignore[type-abstract]
        self._table: LookupTable | None = None
        self._encoded_answers: dict[LookupAnswer, bytes] = {}
        node.configuration.subscribe(self._on_configuration)

    def handle(self, req: Request) -> bytes:
        """Handle one look-up request and return the response body."""
        decision = self._node.ids.decision()
        service = _argument(req, b"service")
        client = _argument(req, b"client")
        result = self._decide(service, client)
        if result.is_error():
            return write_problem(req, result.error, decision)
        self._record(decision, service, client, result.ok)
        headers = req.responseHeaders
        headers.setRawHeaders(b"Content-Type", [b"application/json"])
        headers.setRawHeaders(b"Decision-Id", [decision.encode()])
        return self._encode(result.ok) + decision.encode() + b'"}'

    def _on_configuration(self, in_force: ServedConfiguration) -> None:
        own_region = self._node.settings.region
        self._table = LookupTable(in_force.environment, own_region)

    def _decide(self, service: str, client: str) -> Result[LookupAnswer, Failure]:
        if self._table is None:
            return Error(Failure(ErrorKind.NOT_READY, "no configuration is in force"))
        address = _address(client)
        if address.is_error():
            return Error(address.error)
        plan = None if self._plan_view is None else self._plan_view.plan()
        self._table.update(plan, self._instance_view.instances())
        return self._table.answer(service, address.ok)

    def _encode(self, answer: LookupAnswer) -> bytes:
        """Return the JSON answer up to the value of the last member.

        The last member is the identifier of the decision, which differs in
        each answer.
        """
        cached = self._encoded_answers.get(answer)
        if cached is not None:
            return cached
        if len(self._encoded_answers) >= MAX_CACHED_ANSWERS:
            self._encoded_answers.clear()
        instances = [
            {
                "address": item.callers,
                "region": item.region,
                "data_centre": item.data_centre,
            }
            for item in answer.instances
        ]
        body = {
            "instances": instances,
            "ttl_s": answer.lifetime.total_seconds(),
            "generation": self._node.configuration.generation,
        }
        encoded = json.dumps(body).encode()[:-1] + b', "decision": "'
        self._encoded_answers[answer] = encoded
        return encoded

    def _record(
        self, decision: DecisionId, service: str, client: str, answer: LookupAnswer
    ) -> None:
        instance_ids = ", ".join(item.id for item in answer.instances)
        self._node.sink.emit(
            LookupAnswered(decision, service, answer.region, instance_ids)
        )
        self._node.decisions.record(
            DecisionRecord(
                id=decision,
                kind=DecisionKind.LOOKUP,
                at=self._node.clock.now(),
                generation=self._node.configuration.generation,
                outcome=f"use {instance_ids}",
                reasons=(
                    f"The client belongs to region {answer.region}.",
                    f"Plan {answer.plan} assigns it to {answer.serving}.",
                ),
                facts=(Fact("service", service), Fact("client", client)),
            )
        )


def _argument(req: Request, name: bytes) -> str:
    values: list[bytes] = req.args.get(name, [b""])
    return values[0].decode("latin-1")


def _address(text: str) -> Result[IPv4Address | IPv6Address, Failure]:
    try:
        return Ok(ip_address(text))
    except ValueError:
        return Error(Failure(ErrorKind.BAD_REQUEST, "client must be an IP address"))
