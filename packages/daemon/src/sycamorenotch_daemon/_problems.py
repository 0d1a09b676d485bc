"""Encodes failures as problem+json answers."""

from __future__ import annotations

import json
import math

from twisted.web.http import Request

from sycamorenotch_kernel import Failure


def write_problem(req: Request, failure: Failure, decision: str) -> bytes:
    """Set the status and headers of an error and return its body.

    :param decision: identifier of the decision that led to the error.
    """
    answer = failure.answer
    req.setResponseCode(answer.status)
    req.setHeader("Content-Type", "application/problem+json")
    req.setHeader("Decision-Id", decision)
    if failure.retry_after is not None:
        seconds = max(1, math.ceil(failure.retry_after.total_seconds()))
        req.setHeader("Retry-After", str(seconds))
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
