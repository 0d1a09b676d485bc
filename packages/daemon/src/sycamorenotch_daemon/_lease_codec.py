"""Encoding of stored leases in msgpack; validated when decoded."""

from __future__ import annotations

from datetime import timedelta

import msgpack
from expression import Error
from expression import Ok
from expression import Result
from pydantic import BaseModel
from pydantic import ConfigDict
from pydantic import Field
from pydantic import ValidationError

from sycamorenotch_kernel import AttemptId
from sycamorenotch_kernel import InstanceId
from sycamorenotch_policies import LeaseRecord

LEASE_KIND = "leases"


class _LeaseModel(BaseModel):
    model_config = ConfigDict(extra="ignore")

    holder: str
    term: int = Field(ge=1)
    attempt: str
    duration_s: float = Field(gt=0, le=3600)
    released: bool


def encode_lease(record: LeaseRecord) -> bytes:
    """Encode a lease for the store."""
    fields = {
        "holder": record.holder,
        "term": record.term,
        "attempt": record.attempt,
        "duration_s": record.duration.total_seconds(),
        "released": record.released,
    }
    encoded: bytes = msgpack.packb(fields)
    return encoded


def decode_lease(value: bytes) -> Result[LeaseRecord, str]:
    """Decode and validate a stored lease.

    :return: the lease, or a description of the error.
    """
    try:
        model = _LeaseModel.model_validate(msgpack.unpackb(value))
    except (ValidationError, ValueError, msgpack.UnpackException) as exc:
        return Error(f"the lease is not valid: {type(exc).__name__}")
    return Ok(
        LeaseRecord(
            holder=InstanceId(model.holder),
            term=model.term,
            attempt=AttemptId(model.attempt),
            duration=timedelta(seconds=model.duration_s),
            released=model.released,
        )
    )
