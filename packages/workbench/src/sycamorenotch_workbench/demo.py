"""A bounded session against the local example."""

from __future__ import annotations

from typing import Any

import treq
from twisted.internet.defer import Deferred
from twisted.internet.task import react

from sycamorenotch_workbench._example import LocalExample


async def _session(example: LocalExample) -> None:
    await example.start()
    described = example.describe()
    callers = described["callers"][0]
    url = f"{callers}/v1/lookup?service=balance&client=10.1.0.7"
    print("look-up:", await _text(await treq.get(url)))
    response = await treq.get(f"{callers}/v1/call/balance/balances/1")
    print("call:", response.code, await _text(response))
    await example.stop()


async def _text(response: Any) -> str:
    return str(await treq.text_content(response))


def main() -> None:
    """Run the session and exit."""
    react(lambda reactor: Deferred.fromCoroutine(_session(LocalExample(reactor))))


if __name__ == "__main__":
    main()
