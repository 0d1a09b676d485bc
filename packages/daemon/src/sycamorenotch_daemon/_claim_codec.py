"""Encodes claims as msgpack and validates them when they are read."""

from __future__ import annotations

import hashlib

import msgpack
from expression import Error
from expression import Ok
from expression import Result
from pydantic import AwareDatetime
from pydantic import BaseModel
from pydantic import ConfigDict
from pydantic import ValidationError
from pydantic import model_validator

from sycamorenotch_kernel import AttemptId
from sycamorenotch_policies import Claim
from sycamorenotch_policies import ClaimState
from sycamorenotch_policies import RecordedAnswer

CLAIM_FORMAT_VERSION = 1
CLAIM_KIND_PREFIX = "claims-"
SHARD_HEX_DIGITS = 3
SHARD_COUNT = 16**SHARD_HEX_DIGITS


class _AnswerModel(BaseModel):
    model_config = ConfigDict(extra="forbid")

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes | None
    digest: str
    size: int


class _ClaimModel(BaseModel):
    model_config = ConfigDict(extra="forbid")

    format: int
    fingerprint: str
    attempt: str
    instance: str
    state: ClaimState
    created: AwareDatetime
    due: AwareDatetime
    expires: AwareDatetime
    answer: _AnswerModel | None

    @model_validator(mode="after")
    def _check(self) -> _ClaimModel:
        if self.format != CLAIM_FORMAT_VERSION:
            raise ValueError(f"unknown claim format {self.format}")
        if (self.state is ClaimState.DONE) != (self.answer is not None):
            raise ValueError("a claim has an answer if and only if its state is done")
        return self


def claim_kind(shard: int) -> str:
    """Return the object kind of one shard of the claims."""
    return f"{CLAIM_KIND_PREFIX}{shard:0{SHARD_HEX_DIGITS}x}"


def claim_location(service: str, key: str) -> tuple[str, str]:
    """Return the object kind and name of the claim for a key.

    :param key: idempotency key, unique within the service.
    """
    digest = hashlib.sha256(f"{service}\n{key}".encode()).hexdigest()
    shard = int(digest[:SHARD_HEX_DIGITS], 16)
    return claim_kind(shard), f"{service}.{digest}"


def encode_claim(claim: Claim) -> bytes:
    """Return the stored form of a claim."""
    answer = claim.answer
    fields = {
        "format": CLAIM_FORMAT_VERSION,
        "fingerprint": claim.fingerprint,
        "attempt": claim.attempt,
        "instance": claim.instance,
        "state": claim.state.value,
        "created": claim.created.isoformat(),
        "due": claim.due.isoformat(),
        "expires": claim.expires.isoformat(),
        "answer": None if answer is None else _answer_fields(answer),
    }
    encoded: bytes = msgpack.packb(fields)
    return encoded


def decode_claim(value: bytes) -> Result[Claim, str]:
    """Validate the stored form of a claim.

    :return: the claim, or a description of the error.
    """
    try:
        model = _ClaimModel.model_validate(msgpack.unpackb(value))
    except (ValidationError, ValueError, msgpack.UnpackException) as exc:
        return Error(f"invalid claim: {type(exc).__name__}")
    answer = model.answer
    return Ok(
        Claim(
            fingerprint=model.fingerprint,
            attempt=AttemptId(model.attempt),
            instance=model.instance,
            state=model.state,
            created=model.created,
            due=model.due,
            expires=model.expires,
            answer=None if answer is None else RecordedAnswer(**answer.model_dump()),
        )
    )


def _answer_fields(answer: RecordedAnswer) -> dict[str, object]:
    return {
        "status": answer.status,
        "headers": [list(pair) for pair in answer.headers],
        "body": answer.body,
        "digest": answer.digest,
        "size": answer.size,
    }
