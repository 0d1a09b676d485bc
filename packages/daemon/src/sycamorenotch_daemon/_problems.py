"""Encodes failures as problem+json answers."""

from __future__ import annotations

import json
import math
from http import HTTPStatus

from twisted.web.http import Request

from sycamorenotch_kernel import ErrorKind
from sycamorenotch_kernel import Failure
from sycamorenotch_transport import RejectionReason
from sycamorenotch_transport import RejectionResponse

PROBLEM_TYPE = "application/problem+json"

WIRE_KINDS = {
    RejectionReason.MALFORMED: ErrorKind.BAD_REQUEST,
    RejectionReason.HEADERS_TOO_LARGE: ErrorKind.HEADERS_TOO_LARGE,
    RejectionReason.BODY_TOO_LARGE: ErrorKind.BODY_TOO_LARGE,
    RejectionReason.SLOW_SENDER: ErrorKind.SLOW_SENDER,
}


def write_problem(req: Request, failure: Failure, decision: str) -> bytes:
    """Set the status and headers of an error and return its body.

    :param decision: identifier of the decision that led to the error.
    """
    req.setResponseCode(failure.answer.status)
    req.setHeader("Content-Type", PROBLEM_TYPE)
    req.setHeader("Decision-Id", decision)
    if failure.retry_after is not None:
        seconds = max(1, math.ceil(failure.retry_after.total_seconds()))
        req.setHeader("Retry-After", str(seconds))
    return _encode(failure, decision)


def wire_problem(problem: RejectionReason, decision: str) -> RejectionResponse:
    """Return the answer to a request that was not read to its end."""
    failure = Failure(WIRE_KINDS[problem], problem.value)
    phrase = HTTPStatus(failure.answer.status).phrase
    status = f"{failure.answer.status} {phrase}"
    return RejectionResponse(status, PROBLEM_TYPE, _encode(failure, decision))


def _encode(failure: Failure, decision: str) -> bytes:
    answer = failure.answer
    body = {
        "type": "about:blank",
        "title": answer.title,
        "status": answer.status,
        "detail": failure.detail,
        "kind": failure.kind.value,
        "ran": failure.stated_ran.value,
        "decision": decision,
    }
    return json.dumps(body).encode()
