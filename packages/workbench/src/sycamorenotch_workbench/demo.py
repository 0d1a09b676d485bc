"""Demonstration session against the local example: ``make demo``."""

from __future__ import annotations

import json
from datetime import timedelta
from io import StringIO
from typing import Any
from typing import final

import treq
from eliot import to_file
from twisted.internet.defer import Deferred
from twisted.internet.defer import gatherResults
from twisted.internet.task import react

from sycamorenotch_cli import ExitCode
from sycamorenotch_cli import Invocation
from sycamorenotch_cli import OperatorsClient
from sycamorenotch_cli import Options
from sycamorenotch_kernel import commands
from sycamorenotch_workbench._example import LocalExample

SESSION_LIMIT = timedelta(seconds=50)
UPSTREAM_FAILURE_CALLS = 6
CLIENT = "10.1.0.7"


class UnexpectedAnswerError(Exception):
    """A step of the session had an unexpected result."""


@final
class Session:
    """Runs the steps and prints the output that a caller or an operator sees.

    :param example: a started example.
    :param reactor: reactor of the process.
    """

    def __init__(self, example: LocalExample, reactor: Any) -> None:
        self._example = example
        self._reactor = reactor
        described = example.describe()
        self._callers: str = described["callers"][0]
        self._operators: str = described["operators"][0]

    async def run(self) -> None:
        """Run every step.

        :raises UnexpectedAnswerError: if a step has an unexpected result.
        """
        await self._command("plugins", max_lines=3)
        await self._look_up()
        decision = await self._call()
        await self._command("explain", decision)
        await self._redeem_twice()
        await self._promote()
        await self._drain()
        await self._upstream_failure()
        await self._command("status")
        await self._command("history", "production")
        await self._command("report", "burn")

    async def _look_up(self) -> None:
        _print_title("a caller looks up the instances of a service")
        url = f"{self._callers}/v1/lookup?service=balance&client={CLIENT}"
        print(f"$ curl '{url}'")
        print(json.dumps(await treq.json_content(await treq.get(url)), indent=2))

    async def _call(self) -> str:
        _print_title("a caller sends a request through an instance")
        url = f"{self._callers}/v1/call/balance/balances/1"
        print(f"$ curl {url}")
        response = await treq.get(url)
        print(response.code, await treq.text_content(response))
        _require(response.code == 200, "the call was not answered with status 200")
        return str(response.headers.getRawHeaders("Decision-Id")[0])

    async def _redeem_twice(self) -> None:
        _print_title("the same redemption is sent twice concurrently")
        url = f"{self._callers}/v1/call/redemption/redemptions/1"
        print(f"$ curl -X POST -H 'Idempotency-Key: voucher-77' {url}   # twice")
        sent = [Deferred.fromCoroutine(_redeem(url)) for _ in range(2)]
        for line in await gatherResults(sent):
            print(line)
        runs = sum(w.executions["voucher-77"] for w in self._example.workers.values())
        print(f"the upstreams ran it {runs} time(s)")
        _require(runs == 1, "the redemption did not run exactly once")

    async def _promote(self) -> None:
        _print_title(
            "an operator tests a smaller cap in the trial environment and promotes it"
        )
        changed = self._example.token_file.with_name("trial.ini")
        changed.write_text(self._example.text.replace("cap = 10%", "cap = 8%"))
        await self._command("check", str(changed))
        await self._command("apply", "trial", str(changed))
        await self._command("diff", "production", "trial")
        await self._command("promote", wait=True)
        await self._command("show", "production", max_lines=12)

    async def _drain(self) -> None:
        _print_title("an operator drains a data centre and undoes the drain")
        await self._command("drain", "data-centre", "nadi", wait=True)
        _require(
            not await self._list_used_workers("-nadi-"),
            "a drained worker received new requests",
        )
        await self._command("drain", "data-centre", "nadi", wait=True, undo=True)

    async def _list_used_workers(self, name_part: str) -> set[str]:
        url = f"{self._callers}/v1/call/balance/balances/1"
        responses = [await treq.get(url) for _ in range(8)]
        used = {(await treq.json_content(item))["worker"] for item in responses}
        print("workers used:", ", ".join(sorted(used)))
        return {name for name in used if name_part in name}

    async def _upstream_failure(self) -> None:
        _print_title("the upstreams of a data centre truncate their responses")
        workers = self._example.workers.values()
        failing = [w for w in workers if w.name.startswith("balance-nadi-")]
        before = sum(worker.served for worker in failing)
        for worker in failing:
            worker.fault.set("cut", 0.0, None)
        url = f"{self._callers}/v1/call/balance/balances/1"
        codes = [
            await _status(await treq.get(url)) for _ in range(UPSTREAM_FAILURE_CALLS)
        ]
        for worker in failing:
            worker.fault.set("none", 0.0, None)
        truncated = sum(worker.served for worker in failing) - before
        print(f"{truncated} responses were truncated by {len(failing)} upstreams")
        print(f"{UPSTREAM_FAILURE_CALLS} calls were answered with {codes}")

    async def _command(
        self, name: str, *args: str, max_lines: int | None = None, **options: Any
    ) -> None:
        flags = "".join(f" --{flag}" for flag in options)
        print(f"\n$ sycamorenotch {' '.join((name, *args))}{flags}")
        client = OperatorsClient(self._operators, self._example.token)
        cli_options = Options(author="ana", **options)
        invocation = Invocation(args, cli_options, self._reactor, lambda: client)
        outcome = await commands.get(name).run(invocation)
        lines = outcome.text.splitlines()
        print("\n".join(lines[:max_lines]))
        if max_lines is not None and len(lines) > max_lines:
            print(f"... {len(lines) - max_lines} more lines")
        _require(outcome.code is ExitCode.OK, f"{name} ended with {outcome.code.name}")


async def _redeem(url: str) -> str:
    headers = {"Idempotency-Key": "voucher-77"}
    response = await treq.post(url, b"voucher=77", headers=headers)
    text = await treq.text_content(response)
    return f"{response.code} {text}"


async def _status(response: Any) -> int:
    await treq.content(response)
    return int(response.code)


def _print_title(text: str) -> None:
    print(f"\n== {text}")


def _require(condition: bool, problem: str) -> None:
    if not condition:
        raise UnexpectedAnswerError(problem)


async def _session(reactor: Any) -> None:
    example = LocalExample(reactor)
    await example.start()
    try:
        await Session(example, reactor).run()
    finally:
        await example.stop()
    print("\nThe session completed successfully.")


def main() -> None:
    """Run the session; the exit status is 0 only if every step succeeds."""
    to_file(StringIO())

    def start(reactor: Any) -> Deferred[None]:
        session: Deferred[None] = Deferred.fromCoroutine(_session(reactor))
        return session.addTimeout(SESSION_LIMIT.total_seconds(), reactor)

    react(start)


if __name__ == "__main__":
    main()
