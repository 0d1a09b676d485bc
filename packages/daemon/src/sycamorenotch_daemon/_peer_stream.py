"""One stream between two daemons."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum
from enum import auto
from typing import Any
from typing import Protocol
from typing import final

from automat import TypeMachineBuilder
from twisted.internet.interfaces import IPushProducer
from twisted.protocols.basic import Int32StringReceiver
from twisted.python.failure import Failure
from zope.interface import implementer

from sycamorenotch_daemon._peer_codec import MalformedFrameError
from sycamorenotch_daemon._peer_codec import decode_message
from sycamorenotch_daemon._peer_codec import encode_message
from sycamorenotch_daemon._peer_events import PeerFrameRefused
from sycamorenotch_daemon._peer_events import PeerRefused
from sycamorenotch_daemon._peer_greeting import PeerIdentity
from sycamorenotch_daemon._peer_greeting import decode_greeting
from sycamorenotch_daemon._peer_greeting import encode_greeting
from sycamorenotch_daemon._peer_greeting import prove
from sycamorenotch_daemon._peer_greeting import proves
from sycamorenotch_kernel import EventSink
from sycamorenotch_kernel import InstanceId
from sycamorenotch_kernel import Message

GREETING_LIMIT_BYTES = 1024
# A whole document of the store's largest size fits, with room for its fields.
FRAME_LIMIT_BYTES = 2**20 + 2**16
GREETING_TIMEOUT = timedelta(seconds=5)
IDLE_TIMEOUT = timedelta(seconds=30)
LENGTH_BYTES = 4


@final
class Expected(Enum):
    """The frame that a stream expects next."""

    GREETING = auto()
    PROOF = auto()
    MESSAGE = auto()
    NOTHING = auto()


class StreamLife(Protocol):
    """Inputs of a stream's machine."""

    def expects(self) -> Expected:
        """Return the frame that may come next."""

    def accept(self) -> None:
        """Take note that the expected frame was right."""

    def close(self) -> bool:
        """Close; return whether the stream was open to messages."""


def _machine() -> TypeMachineBuilder[StreamLife, None]:
    builder = TypeMachineBuilder(StreamLife, type(None))
    greeting = builder.state("greeting")
    proving = builder.state("proving")
    opened = builder.state("open")
    closed = builder.state("closed")
    expected = {
        greeting: Expected.GREETING,
        proving: Expected.PROOF,
        opened: Expected.MESSAGE,
        closed: Expected.NOTHING,
    }
    for state, frame in expected.items():
        state.upon(StreamLife.expects).loop().returns(frame)
        state.upon(StreamLife.close).to(closed).returns(state is opened)
    greeting.upon(StreamLife.accept).to(proving).returns(None)
    proving.upon(StreamLife.accept).to(opened).returns(None)
    opened.upon(StreamLife.accept).loop().returns(None)
    closed.upon(StreamLife.accept).loop().returns(None)
    return builder


_BUILD = _machine().build()


@final
@dataclass(slots=True)
class Traffic:
    """Bytes and messages of all streams of one daemon, for metrics."""

    sent_bytes: int = 0
    received_bytes: int = 0
    sent_messages: int = 0
    received_messages: int = 0
    dropped_messages: int = 0


@final
@dataclass(frozen=True, slots=True)
class StreamContext:
    """What the streams of one daemon share.

    :param nonce: returns fresh random bytes.
    :param accepts: returns why an identity is refused, or an empty string.
    """

    reactor: Any
    key: bytes
    identity: Callable[[], PeerIdentity]
    nonce: Callable[[], bytes]
    accepts: Callable[[PeerIdentity], str]
    opened: Callable[[PeerStream], None]
    received: Callable[[PeerStream, Message], None]
    lost: Callable[[PeerStream], None]
    sink: EventSink
    traffic: Traffic


@implementer(IPushProducer)
@final
class PeerStream(Int32StringReceiver):
    """Greets, proves the peer's identity, then carries messages.

    :param target: the instance that this side dialled, if it did.
    """

    MAX_LENGTH = GREETING_LIMIT_BYTES

    def __init__(self, context: StreamContext, target: InstanceId | None) -> None:
        self.peer: PeerIdentity | None = None
        self.target = target
        self.dialled = target is not None
        self._context = context
        self._life = _BUILD(None)
        self._own = b""
        self._other = b""
        self._writable = True
        self._timeout: Any = None

    @property
    def is_open(self) -> bool:
        """Whether messages may be sent."""
        return self._life.expects() is Expected.MESSAGE

    def connectionMade(self) -> None:
        """Send the greeting."""
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)
        self._own = encode_greeting(self._context.identity(), self._context.nonce())
        self._write(self._own)
        self._expire_after(GREETING_TIMEOUT)

    def stringReceived(self, string: bytes) -> None:
        """Handle one frame."""
        self._context.traffic.received_bytes += len(string) + LENGTH_BYTES
        try:
            match self._life.expects():
                case Expected.GREETING:
                    self._on_greeting(string)
                case Expected.PROOF:
                    self._on_proof(string)
                case Expected.MESSAGE:
                    self._on_message(string)
                case Expected.NOTHING:
                    pass
        except MalformedFrameError as exc:
            self._on_malformed(str(exc))

    def lengthLimitExceeded(self, length: int) -> None:
        """Close the stream; the frames after an oversized one are lost."""
        self.refuse(f"a frame of {length} bytes")

    def connectionLost(self, reason: Failure) -> None:  # type: ignore[override]
        """Tell the owner that the stream is gone."""
        if self._timeout is not None and self._timeout.active():
            self._timeout.cancel()
        self._life.close()
        self._context.lost(self)

    def send(self, message: Message) -> bool:
        """Send a message unless the stream is closed or its peer too slow."""
        if not self.is_open or not self._writable:
            self._context.traffic.dropped_messages += 1
            return False
        self._context.traffic.sent_messages += 1
        self._write(encode_message(message))
        return True

    def refuse(self, reason: str) -> None:
        """Report a broken rule of the protocol and close the stream."""
        address = str(self.transport.getPeer())
        self._context.sink.emit(PeerRefused(address, reason))
        self.close()

    def close(self) -> None:
        """Close the stream without waiting for unsent bytes."""
        self._life.close()
        self.transport.abortConnection()

    def pauseProducing(self) -> None:
        """Drop messages while the peer does not read."""
        self._writable = False

    def resumeProducing(self) -> None:
        """Send messages again."""
        self._writable = True

    def stopProducing(self) -> None:
        """Drop messages from now on."""
        self._writable = False

    def _on_greeting(self, frame: bytes) -> None:
        identity = decode_greeting(frame)
        reason = self._context.accepts(identity)
        if self.target not in (None, identity.instance):
            reason = f"the address of {self.target} has another instance"
        if reason:
            self.refuse(reason)
            return
        self.peer, self._other = identity, frame
        self._life.accept()
        self._write(prove(self._context.key, self.dialled, self._own, frame))

    def _on_proof(self, frame: bytes) -> None:
        key = self._context.key
        if not proves(frame, key, self.dialled, self._own, self._other):
            self.refuse("the proof of identity is wrong")
            return
        self._life.accept()
        self.MAX_LENGTH = FRAME_LIMIT_BYTES
        self._expire_after(IDLE_TIMEOUT)
        self._context.opened(self)

    def _on_message(self, frame: bytes) -> None:
        self._expire_after(IDLE_TIMEOUT)
        message = decode_message(frame)
        # A peer of a later version may send types that are not known here.
        if message is not None:
            self._context.traffic.received_messages += 1
            self._context.received(self, message)

    def _on_malformed(self, reason: str) -> None:
        if self.is_open and self.peer is not None:
            self._context.sink.emit(PeerFrameRefused(self.peer.instance, reason))
        else:
            self.refuse(reason)

    def _write(self, frame: bytes) -> None:
        self._context.traffic.sent_bytes += len(frame) + LENGTH_BYTES
        self.sendString(frame)

    def _expire_after(self, limit: timedelta) -> None:
        if self._timeout is not None and self._timeout.active():
            self._timeout.reset(limit.total_seconds())
            return
        self._timeout = self._context.reactor.callLater(
            limit.total_seconds(), self._on_silence
        )

    def _on_silence(self) -> None:
        if self.is_open:
            self.close()
        else:
            self.refuse("no proof of identity in time")
