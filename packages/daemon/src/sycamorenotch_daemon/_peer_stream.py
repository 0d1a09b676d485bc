"""A stream of length-prefixed frames between two daemons."""

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
from sycamorenotch_daemon._peer_greeting import make_proof
from sycamorenotch_daemon._peer_greeting import verify_proof
from sycamorenotch_kernel import EventSink
from sycamorenotch_kernel import InstanceId
from sycamorenotch_kernel import Message

MAX_GREETING_BYTES = 1024
# A document of the store's maximum size fits, with room for the other fields.
MAX_FRAME_BYTES = 2**20 + 2**16
GREETING_TIMEOUT = timedelta(seconds=5)
IDLE_TIMEOUT = timedelta(seconds=30)
LENGTH_BYTES = 4


@final
class ExpectedFrame(Enum):
    """The frame that a stream expects next."""

    GREETING = auto()
    PROOF = auto()
    MESSAGE = auto()
    NOTHING = auto()


class StreamState(Protocol):
    """Inputs of the state machine of a stream."""

    def expected_frame(self) -> ExpectedFrame:
        """Return the kind of frame that is valid next."""

    def accept(self) -> None:
        """Record that the expected frame was valid."""

    def close(self) -> bool:
        """Close; return whether the handshake had been completed."""


def _build_state_machine() -> TypeMachineBuilder[StreamState, None]:
    builder = TypeMachineBuilder(StreamState, type(None))
    greeting = builder.state("greeting")
    proving = builder.state("proving")
    opened = builder.state("open")
    closed = builder.state("closed")
    expected = {
        greeting: ExpectedFrame.GREETING,
        proving: ExpectedFrame.PROOF,
        opened: ExpectedFrame.MESSAGE,
        closed: ExpectedFrame.NOTHING,
    }
    for state, frame in expected.items():
        state.upon(StreamState.expected_frame).loop().returns(frame)
        state.upon(StreamState.close).to(closed).returns(state is opened)
    greeting.upon(StreamState.accept).to(proving).returns(None)
    proving.upon(StreamState.accept).to(opened).returns(None)
    opened.upon(StreamState.accept).loop().returns(None)
    closed.upon(StreamState.accept).loop().returns(None)
    return builder


_NEW_STATE = _build_state_machine().build()


@final
@dataclass(slots=True)
class Traffic:
    """Counts of bytes and messages over all streams of one daemon."""

    sent_bytes: int = 0
    received_bytes: int = 0
    sent_messages: int = 0
    received_messages: int = 0
    dropped_messages: int = 0


@final
@dataclass(frozen=True, slots=True)
class StreamContext:
    """Configuration and callbacks that the streams of one daemon share.

    :param nonce: returns fresh random bytes.
    :param rejection_reason: returns why a peer is rejected, or an empty string.
    :param opened: called when the handshake is complete.
    :param lost: called when the connection is closed, even before the handshake
        is complete.
    """

    reactor: Any
    key: bytes
    identity: Callable[[], PeerIdentity]
    nonce: Callable[[], bytes]
    rejection_reason: Callable[[PeerIdentity], str]
    opened: Callable[[PeerStream], None]
    received: Callable[[PeerStream, Message], None]
    lost: Callable[[PeerStream], None]
    sink: EventSink
    traffic: Traffic


@implementer(IPushProducer)
@final
class PeerStream(Int32StringReceiver):
    """Authenticates the peer with a handshake, then carries messages.

    :param target: the instance that this side dialled, or None if the peer
        opened the connection.
    """

    MAX_LENGTH = MAX_GREETING_BYTES

    def __init__(self, context: StreamContext, target: InstanceId | None) -> None:
        self.peer: PeerIdentity | None = None
        self.target = target
        self.dialled = target is not None
        self._context = context
        self._state = _NEW_STATE(None)
        self._own_greeting = b""
        self._received_greeting = b""
        self._writable = True
        self._timeout: Any = None

    @property
    def is_open(self) -> bool:
        """Whether the handshake is complete and the stream not closed."""
        return self._state.expected_frame() is ExpectedFrame.MESSAGE

    def connectionMade(self) -> None:
        """Send the greeting."""
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)
        self._own_greeting = encode_greeting(
            self._context.identity(), self._context.nonce()
        )
        self._write(self._own_greeting)
        self._set_timeout(GREETING_TIMEOUT)

    def stringReceived(self, string: bytes) -> None:
        """Handle one received frame."""
        self._context.traffic.received_bytes += len(string) + LENGTH_BYTES
        try:
            match self._state.expected_frame():
                case ExpectedFrame.GREETING:
                    self._on_greeting(string)
                case ExpectedFrame.PROOF:
                    self._on_proof(string)
                case ExpectedFrame.MESSAGE:
                    self._on_message(string)
                case ExpectedFrame.NOTHING:
                    pass
        except MalformedFrameError as exc:
            self._on_malformed(str(exc))

    def lengthLimitExceeded(self, length: int) -> None:
        """Close the stream, as no frame can be read after an oversized one."""
        self.reject(f"a frame of {length} bytes exceeds the limit")

    def connectionLost(self, reason: Failure) -> None:  # type: ignore[override]
        """Report to the owner that the stream is closed."""
        if self._timeout is not None and self._timeout.active():
            self._timeout.cancel()
        self._state.close()
        self._context.lost(self)

    def send(self, message: Message) -> bool:
        """Send a message, or drop it if the stream is closed or the peer too slow.

        :return: whether the message was sent.
        """
        if not self.is_open or not self._writable:
            self._context.traffic.dropped_messages += 1
            return False
        self._context.traffic.sent_messages += 1
        self._write(encode_message(message))
        return True

    def reject(self, reason: str) -> None:
        """Report why the peer is rejected and close the stream."""
        address = str(self.transport.getPeer())
        self._context.sink.emit(PeerRefused(address, reason))
        self.close()

    def close(self) -> None:
        """Close the stream and discard unsent bytes."""
        self._state.close()
        self.transport.abortConnection()

    def pauseProducing(self) -> None:
        """Drop messages while the send buffer is full."""
        self._writable = False

    def resumeProducing(self) -> None:
        """Send messages again; the send buffer has room."""
        self._writable = True

    def stopProducing(self) -> None:
        """Drop messages from now on."""
        self._writable = False

    def _on_greeting(self, frame: bytes) -> None:
        identity = decode_greeting(frame)
        reason = self._context.rejection_reason(identity)
        if self.target not in (None, identity.instance):
            reason = f"another instance answers at the address of {self.target}"
        if reason:
            self.reject(reason)
            return
        self.peer, self._received_greeting = identity, frame
        self._state.accept()
        self._write(
            make_proof(self._context.key, self.dialled, self._own_greeting, frame)
        )

    def _on_proof(self, frame: bytes) -> None:
        key = self._context.key
        if not verify_proof(
            frame, key, self.dialled, self._own_greeting, self._received_greeting
        ):
            self.reject("the proof of identity is invalid")
            return
        self._state.accept()
        self.MAX_LENGTH = MAX_FRAME_BYTES
        self._set_timeout(IDLE_TIMEOUT)
        self._context.opened(self)

    def _on_message(self, frame: bytes) -> None:
        self._set_timeout(IDLE_TIMEOUT)
        message = decode_message(frame)
        # A peer of a later version may send unknown message types.
        if message is not None:
            self._context.traffic.received_messages += 1
            self._context.received(self, message)

    def _on_malformed(self, reason: str) -> None:
        if self.is_open and self.peer is not None:
            self._context.sink.emit(PeerFrameRefused(self.peer.instance, reason))
        else:
            self.reject(reason)

    def _write(self, frame: bytes) -> None:
        self._context.traffic.sent_bytes += len(frame) + LENGTH_BYTES
        self.sendString(frame)

    def _set_timeout(self, limit: timedelta) -> None:
        if self._timeout is not None and self._timeout.active():
            self._timeout.reset(limit.total_seconds())
            return
        self._timeout = self._context.reactor.callLater(
            limit.total_seconds(), self._on_timeout
        )

    def _on_timeout(self) -> None:
        if self.is_open:
            self.close()
        else:
            self.reject("the handshake timed out")
