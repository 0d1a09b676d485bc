"""The system and the baselines that it is measured against."""

from __future__ import annotations

from dataclasses import dataclass
from typing import final


@final
@dataclass(frozen=True, slots=True)
class SystemUnderTest:
    """Names of registered policies that make up one system.

    :param steering: steering policy, or an empty string for none.
    """

    name: str
    steering: str
    admission: str
    choice: str
    retry: str

    @property
    def is_baseline(self) -> bool:
        """Whether this is what the system is compared with."""
        return not self.steering


SYSTEMS = (
    SystemUnderTest("sycamorenotch", "headroom", "ranked", "two-choices", "budgeted"),
    SystemUnderTest("round-robin", "", "unlimited", "round-robin", "never"),
    SystemUnderTest("nearest-only", "", "unlimited", "nearest-region", "never"),
    SystemUnderTest("plain-retries", "", "unlimited", "two-choices", "plain"),
)
