"""Encoding of stored plans in msgpack; validated when decoded."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal
from typing import final

import msgpack
from expression import Error
from expression import Ok
from expression import Result
from pydantic import BaseModel
from pydantic import Field
from pydantic import ValidationError
from pydantic import model_validator

from sycamorenotch_kernel import Plan

PLAN_KIND = "plans"
PLAN_FORMAT = 1
SHARE_TOLERANCE = 1e-6


@final
@dataclass(frozen=True, slots=True)
class StoredPlan:
    """A plan and the lease term under which it was written."""

    term: int
    plan: Plan


class _PlanModel(BaseModel):
    format: Literal[1]
    term: int = Field(ge=1)
    plan: Plan

    @model_validator(mode="after")
    def _check(self) -> _PlanModel:
        plan = self.plan
        if plan.sequence < 1 or plan.made_at.tzinfo is None:
            raise ValueError("sequence is less than 1 or made_at has no time zone")
        shares = (sum(item.share for item in route.shares) for route in plan.routes)
        if any(not 0 <= share <= 1 + SHARE_TOLERANCE for share in shares):
            raise ValueError("the sum of a route's shares is not between 0 and 1")
        all_grants = (*plan.grants, *(item.grant for item in plan.outstanding))
        if any(min(grant.floor, grant.loan) < 0 for grant in all_grants):
            raise ValueError("a grant has a negative floor or loan")
        return self


def encode_plan(stored: StoredPlan) -> bytes:
    """Encode a plan for the store."""
    model = _PlanModel.model_construct(
        format=PLAN_FORMAT, term=stored.term, plan=stored.plan
    )
    encoded: bytes = msgpack.packb(model.model_dump(mode="json"))
    return encoded


def decode_plan(value: bytes) -> Result[StoredPlan, str]:
    """Decode and validate a stored plan.

    :return: the plan, or a description of the error.
    """
    try:
        model = _PlanModel.model_validate(msgpack.unpackb(value))
    except (ValidationError, ValueError, msgpack.UnpackException) as exc:
        return Error(f"the plan is not valid: {type(exc).__name__}")
    return Ok(StoredPlan(model.term, model.plan))
