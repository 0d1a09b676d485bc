"""Quarantine of poison requests, which crash the workers that run them."""

from __future__ import annotations

import hashlib
from collections import OrderedDict
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field
from datetime import timedelta
from itertools import count
from typing import NewType
from typing import final

Signature = NewType("Signature", str)

# Crashes after which a request is quarantined.
CRASH_LIMIT = 3
# Instances see the end of a worker at slightly different times. A worker takes some
# seconds to come back, so losses closer than this belong to one crash, unless the
# starts of the worker are known.
SAME_CRASH_WINDOW = timedelta(seconds=2)
STRIKE_LIFETIME = timedelta(minutes=5)
QUARANTINE_LIFETIME = timedelta(minutes=10)
MAX_SIGNATURES = 4096
MAX_EXCHANGED_STRIKES = 4096
# Bound on answered requests that the other instances are told of; the oldest are
# discarded.
MAX_CLEARED = 256
SIGNATURE_BYTES = 16


def sign_request(
    service: str, method: str, path: str, body: bytes, caller: str = ""
) -> Signature:
    """Return a digest that is the same for a request on every instance.

    :param caller: what names the caller, if anything does.
    """
    digest = hashlib.blake2b(digest_size=SIGNATURE_BYTES)
    texts = (service, method, path, caller)
    for part in (*map(str.encode, texts), body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return Signature(digest.hexdigest())


@final
@dataclass(frozen=True, slots=True)
class Strike:
    """Loss of the connection to a worker while it ran a request.

    :param origin: instance that observed the loss.
    :param sequence: number among the strikes of the origin, from 1.
    :param age: time since the loss.
    :param incarnation: start of the worker in Unix milliseconds; 0 if not known.
    """

    signature: Signature
    worker: str
    origin: str
    sequence: int
    age: timedelta
    incarnation: int = 0


@final
@dataclass(frozen=True, slots=True)
class AnsweredRequest:
    """A request that a worker has answered although others were lost while they ran it.

    :param age: time since the answer.
    """

    signature: Signature
    age: timedelta


@final
@dataclass(frozen=True, slots=True)
class _Crash:
    worker: str
    incarnation: int
    at: timedelta

    def is_same(self, other: _Crash) -> bool:
        if self.worker != other.worker:
            return False
        if self.incarnation and other.incarnation:
            return self.incarnation == other.incarnation
        return abs(self.at - other.at) <= SAME_CRASH_WINDOW


@final
@dataclass(slots=True)
class _SignatureRecord:
    crashes: list[_Crash] = field(default_factory=list)
    until: timedelta | None = None


@final
@dataclass(frozen=True, slots=True)
class _LocalStrike:
    signature: Signature
    sequence: int
    crash: _Crash


@final
class Quarantine:
    """Counts crashes of workers per request and quarantines requests with too many.

    Several equal requests may be lost in one crash, at one instance or at several.
    Their strikes count once, as one crash says only once that a request may cause it.

    An answer clears a request of all earlier crashes, whoever saw them, because a
    request that always crashes its worker never gets one. The other instances are told
    of it, as those that refuse the request never see an answer.

    :param origin: name of this instance.
    """

    def __init__(self, origin: str) -> None:
        self._origin = origin
        self._sequence = count(1)
        self._records: OrderedDict[Signature, _SignatureRecord] = OrderedDict()
        self._local: deque[_LocalStrike] = deque(maxlen=MAX_EXCHANGED_STRIKES)
        # Times of the last answers; strikes of earlier losses may still arrive.
        self._answered: OrderedDict[Signature, timedelta] = OrderedDict()
        # Times of the first answers after losses, for the other instances.
        self._cleared: OrderedDict[Signature, timedelta] = OrderedDict()

    def __len__(self) -> int:
        return len(self._records)

    def remaining(self, signature: Signature, now: timedelta) -> timedelta | None:
        """Return the remaining quarantine time of a request, or none."""
        record = self._records.get(signature)
        if record is None or record.until is None:
            return None
        if record.until <= now:
            del self._records[signature]
            return None
        return record.until - now

    def record_strike(
        self,
        signature: Signature,
        worker: str,
        now: timedelta,
        lost_at: timedelta | None = None,
        incarnation: int = 0,
    ) -> bool:
        """Record a worker that was lost while it ran a request.

        :param lost_at: time of the loss, if it was confirmed only later.
        :param incarnation: start of the worker, as in :class:`Strike`.
        :return: whether the strike put the request into quarantine.
        """
        crash = _Crash(worker, incarnation, now if lost_at is None else lost_at)
        # A strike of a known crash would tell the other instances nothing new.
        if not self._is_known(signature, crash) and not self._is_refuted(
            signature, crash
        ):
            self._local.append(_LocalStrike(signature, next(self._sequence), crash))
        return self._add_crash(signature, crash, now)

    def record_answer(self, signature: Signature, at: timedelta) -> bool:
        """Clear a request that a worker has answered of all earlier crashes.

        :return: whether this ended its quarantine.
        """
        self._remember_answer(signature, at)
        if signature not in self._records:
            return False
        self._announce_answer(signature, at)
        return self._discard_crashes(signature, at)

    def answered(self, now: timedelta) -> tuple[AnsweredRequest, ...]:
        """Return the requests that answers have cleared here, the newest last."""
        return tuple(
            AnsweredRequest(signature, now - at)
            for signature, at in self._cleared.items()
            if now - at <= QUARANTINE_LIFETIME
        )

    def merge_answered(
        self, answered: Iterable[AnsweredRequest], now: timedelta
    ) -> tuple[Signature, ...]:
        """Clear requests that workers have answered at other instances.

        :return: the requests that this ended the quarantine of.
        """
        ended = []
        for item in answered:
            answered_at = now - item.age
            self._remember_answer(item.signature, answered_at)
            if self._discard_crashes(item.signature, answered_at):
                ended.append(item.signature)
        return tuple(ended)

    def crash_count(self, signature: Signature) -> int:
        """Return the number of crashes that are counted against a request."""
        record = self._records.get(signature)
        return 0 if record is None else len(record.crashes)

    def is_suspect(self, signature: Signature) -> bool:
        """Return whether strikes count against a request."""
        return signature in self._records

    def strikes_since(self, sequence: int, now: timedelta) -> tuple[Strike, ...]:
        """Return the strikes of this instance after a sequence number that count."""
        return tuple(
            Strike(
                s.signature,
                s.crash.worker,
                self._origin,
                s.sequence,
                now - s.crash.at,
                s.crash.incarnation,
            )
            for s in self._local
            if s.sequence > sequence and now - s.crash.at <= STRIKE_LIFETIME
        )

    def merge(self, strikes: Iterable[Strike], now: timedelta) -> int:
        """Add strikes of other instances; those of a known crash change nothing.

        :return: the number of requests that this put into quarantine.
        """
        return sum(
            self._add_crash(
                strike.signature,
                _Crash(strike.worker, strike.incarnation, now - strike.age),
                now,
            )
            for strike in strikes
            if strike.origin != self._origin
        )

    def _is_known(self, signature: Signature, crash: _Crash) -> bool:
        record = self._records.get(signature)
        return record is not None and any(map(crash.is_same, record.crashes))

    def _is_refuted(self, signature: Signature, crash: _Crash) -> bool:
        answered_at = self._answered.get(signature)
        return answered_at is not None and crash.at <= answered_at

    def _add_crash(self, signature: Signature, crash: _Crash, now: timedelta) -> bool:
        if now - crash.at > STRIKE_LIFETIME or self._is_known(signature, crash):
            return False
        if self._is_refuted(signature, crash):
            self._announce_answer(signature, self._answered[signature])
            return False
        record = self._records.setdefault(signature, _SignatureRecord())
        self._records.move_to_end(signature)
        if len(self._records) > MAX_SIGNATURES:
            self._records.popitem(last=False)
        record.crashes = [
            known for known in record.crashes if now - known.at <= STRIKE_LIFETIME
        ]
        record.crashes.append(crash)
        if record.until is not None or len(record.crashes) < CRASH_LIMIT:
            return False
        record.until = now + QUARANTINE_LIFETIME
        return True

    def _remember_answer(self, signature: Signature, at: timedelta) -> None:
        self._answered[signature] = max(at, self._answered.get(signature, at))
        self._answered.move_to_end(signature)
        if len(self._answered) > MAX_SIGNATURES:
            self._answered.popitem(last=False)

    def _announce_answer(self, signature: Signature, at: timedelta) -> None:
        self._cleared[signature] = at
        self._cleared.move_to_end(signature)
        if len(self._cleared) > MAX_CLEARED:
            self._cleared.popitem(last=False)

    def _discard_crashes(self, signature: Signature, answered_at: timedelta) -> bool:
        record = self._records.get(signature)
        if record is None:
            return False
        was_quarantined = record.until is not None
        record.crashes = [crash for crash in record.crashes if crash.at > answered_at]
        if len(record.crashes) < CRASH_LIMIT:
            record.until = None
        if not record.crashes:
            del self._records[signature]
        kept = (
            strike
            for strike in self._local
            if strike.signature != signature or strike.crash.at > answered_at
        )
        self._local = deque(kept, maxlen=MAX_EXCHANGED_STRIKES)
        return was_quarantined and record.until is None
