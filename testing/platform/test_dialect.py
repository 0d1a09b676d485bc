"""Tests of the platform's HTTP dialect."""

from __future__ import annotations

import orjson
import pytest

from sycamorenotch_gateway import LookupQuery
from sycamorenotch_kernel import ErrorKind
from sycamorenotch_kernel import LoadReport
from sycamorenotch_kernel import Ran
from sycamorenotch_kernel import Refusal
from sycamorenotch_kernel import Verdict
from sycamorenotch_kernel import dialects
from sycamorenotch_platform._dialect import MAX_PAUSE_S
from sycamorenotch_transport import HttpRequest
from sycamorenotch_transport import HttpResponse
from sycamorenotch_transport import ResponseMatch
from sycamorenotch_transport import get_header

SIGNED = ("X-Response-Signature", "1.2.3")
HEADERS = (
    ("Host", "h.example"),
    ("X-Attempt-Id", "9c41"),
    ("X-Affinity-Key", "17"),
    ("X-Remaining-Milliseconds", "3000"),
    ("Connection", "keep-alive, X-Hop"),
    ("X-Hop", "1"),
    ("X-Other", "kept"),
)


@pytest.fixture
def dialect():
    return dialects.get("platform")()


@pytest.fixture
def call(dialect):
    return dialect.decode_call(HttpRequest("GET", "/p/2f?q=1", HEADERS)).ok


def test_call_has_identifier_object_key_and_timeout(call) -> None:
    assert (call.id, call.object_key, call.patience_s) == ("9c41", "17", 3.0)
    assert (call.host, call.path, call.target) == ("h.example", "/p/2f", "/p/2f?q=1")


@pytest.mark.parametrize("value", ["", "-1", "1.5", "abc", "٣", "9" * 400, "9" * 5000])
def test_timeout_is_unknown_when_malformed(dialect, value) -> None:
    headers = (("Host", "h"), ("X-Remaining-Milliseconds", value))
    assert dialect.decode_call(HttpRequest("GET", "/", headers)).ok.patience_s is None


def test_attempt_carries_the_worker_and_the_time_left(dialect, call) -> None:
    sent = dialect.encode_attempt(call, "i-7", 1.5)
    assert get_header(sent.headers, "x-expected-instance") == "i-7"
    assert 1400 <= int(get_header(sent.headers, "x-remaining-milliseconds")) <= 1500
    assert get_header(sent.headers, "x-other") == "kept"
    assert get_header(sent.headers, "x-hop") == ""
    names = [name.lower() for name, _ in sent.headers]
    assert len(names) == len(set(names))


def test_answer_to_another_request_does_not_match(dialect, call) -> None:
    answers = [HttpResponse(200, (("X-Attempt-Id", t),)) for t in ("9c41", "9c42", "")]
    assert [dialect.match_response(call, response) for response in answers] == [
        ResponseMatch.OWN,
        ResponseMatch.OTHER,
        ResponseMatch.UNIDENTIFIED,
    ]


@pytest.mark.parametrize(
    ("response", "verdict"),
    [
        (HttpResponse(200, (SIGNED,)), Verdict.ANSWER),
        (HttpResponse(404, (SIGNED,)), Verdict.ANSWER),
        (HttpResponse(500, (SIGNED,)), Verdict.FAULT),
        (HttpResponse(504, (SIGNED,)), Verdict.FAULT),
        (HttpResponse(503, (("X-Not-Executed", "1"),)), Verdict.NOT_RUN),
        (HttpResponse(429, (("X-Not-Executed", "1"),)), Verdict.NOT_RUN),
        (HttpResponse(421), Verdict.STRANGER),
        (HttpResponse(503, (SIGNED,)), Verdict.BROKEN),
        (HttpResponse(503), Verdict.BROKEN),
        (HttpResponse(200), Verdict.BROKEN),
    ],
)
def test_answer_is_classified_by_status_and_headers(dialect, response, verdict) -> None:
    assert dialect.decode_reply(response).verdict is verdict


def test_load_is_read_from_the_answer(dialect) -> None:
    reply = dialect.decode_reply(
        HttpResponse(200, (SIGNED, ("X-Server-Load", "3,1,8")))
    )
    assert reply.load == LoadReport(3, 1, 8)


@pytest.mark.parametrize(
    ("value", "rate"),
    [
        ("7.5", 7.5),
        ("1", 1.0),
        ("0", 0.0),
        *((text, None) for text in ("", "-1", "many", "nan", "inf")),
    ],
)
def test_rate_limit_is_read_from_the_answer(dialect, value, rate) -> None:
    reply = dialect.decode_reply(HttpResponse(200, (SIGNED, ("Server-Limit", value))))
    assert reply.rate_limit == rate


@pytest.mark.parametrize(("value", "leaving"), [("1", True), ("0", False), ("", False)])
def test_leaving_is_read_from_the_answer(dialect, value, leaving) -> None:
    headers = (SIGNED, ("Server-Leaving", value))
    assert dialect.decode_reply(HttpResponse(200, headers)).leaving is leaving


@pytest.mark.parametrize(
    ("status", "value", "pause_s"),
    [
        (503, "2", 2.0),
        (503, "0.25", 0.25),
        (503, "1e9", MAX_PAUSE_S),
        *((503, text, None) for text in ("", "-1", "nan", "Sat, 05 Dec 2026")),
        (200, "2", None),
        (429, "2", None),
    ],
)
def test_pause_is_read_from_an_answer_that_turns_away(
    dialect, status, value, pause_s
) -> None:
    headers = (("X-Not-Executed", "1"), ("Retry-After", value))
    assert dialect.decode_reply(HttpResponse(status, headers)).pause_s == pause_s


# Reports with a fourth figure were dropped whole, so the load of no worker was known.
@pytest.mark.parametrize(
    ("figure", "slowdown"),
    [
        *[("100", 1.0), (" 250", 2.5), ("87.5", 0.875), ("10000", 100.0)],
        *((text, None) for text in ("0", "-5", "nan", "inf", "10001", "fast", "")),
    ],
)
def test_slowdown_is_read_from_the_answer(dialect, figure, slowdown) -> None:
    headers = (SIGNED, ("X-Server-Load", f"3,1,8,{figure}"))
    reply = dialect.decode_reply(HttpResponse(200, headers))
    assert reply.load == LoadReport(3, 1, 8, slowdown)
    assert bool(reply.ignored_load) == (slowdown is None)


# A number of more than 4,300 digits raises an error when it is converted.
@pytest.mark.parametrize(
    "value",
    ["", "1,2", "a,b,c", "1,2,3,100,5", "-1,0,1", "1,0,0", "1,99999,4", "²,0,1"]
    + ["9" * 5000 + ",0,1"],
)
def test_load_is_unknown_when_malformed(dialect, value) -> None:
    reply = dialect.decode_reply(HttpResponse(200, (SIGNED, ("X-Server-Load", value))))
    assert reply.load is None
    assert reply.ignored_load == value[:64]


@pytest.mark.parametrize(
    ("kind", "ran", "status"),
    [
        (ErrorKind.OVERLOADED, Ran.NO, 503),
        (ErrorKind.UPSTREAM_FAILED, Ran.NO, 503),
        (ErrorKind.DEADLINE_PASSED, Ran.NO, 503),
        (ErrorKind.UPSTREAM_FAILED, Ran.UNKNOWN, 502),
        (ErrorKind.UPSTREAM_SHED, Ran.UNKNOWN, 502),
        (ErrorKind.DEADLINE_PASSED, Ran.UNKNOWN, 504),
        (ErrorKind.UNKNOWN_ROUTE, Ran.NO, 404),
    ],
)
def test_refusal_status_promises_only_what_is_known_about_the_run(
    dialect, kind, ran, status
) -> None:
    answer = dialect.encode_refusal("9c41", Refusal(kind, ran, "why", 0.5))
    assert answer.status == status
    assert bool(get_header(answer.headers, "retry-after")) == (status == 503)


def test_lookup_is_decoded_and_encoded(dialect) -> None:
    target = "/api/resolution?name=h&region=west&zone=a"
    found = dialect.decode_lookup(HttpRequest("GET", target, ()))
    assert found == LookupQuery("west", "a")
    answer = dialect.encode_lookup(("10.0.0.1:80",), 1.5)
    assert orjson.loads(answer.body) == {"addresses": ["10.0.0.1:80"], "ttl": "1500ms"}
