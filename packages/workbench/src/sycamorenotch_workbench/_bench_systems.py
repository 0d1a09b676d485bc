"""System under test and the baselines that it is compared with."""

from __future__ import annotations

from dataclasses import dataclass
from typing import final


@final
@dataclass(frozen=True, slots=True)
class SystemUnderTest:
    """Combination of registered policies.

    :param name: name in the output.
    :param steering: name of the steering policy, or an empty string for none.
    :param admission: name of the admission discipline.
    :param choice: name of the worker choice.
    :param retry: name of the retry rule.
    """

    name: str
    steering: str
    admission: str
    choice: str
    retry: str

    @property
    def is_baseline(self) -> bool:
        """Whether this is a baseline."""
        return not self.steering


SYSTEMS = (
    SystemUnderTest("sycamorenotch", "headroom", "ranked", "two-choices", "budgeted"),
    SystemUnderTest("round-robin", "", "unlimited", "round-robin", "never"),
    SystemUnderTest("nearest-only", "", "unlimited", "nearest-region", "never"),
    SystemUnderTest("plain-retries", "", "unlimited", "two-choices", "plain"),
)
