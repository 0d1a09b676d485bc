"""Bodies of HTTP requests that are whole in memory."""

from __future__ import annotations

from typing import Any
from typing import final

from twisted.internet.defer import Deferred
from twisted.internet.defer import succeed
from twisted.web.iweb import IBodyProducer
from zope.interface import implementer


@implementer(IBodyProducer)
@final
class BytesProducer:
    """Writes a body at once, without the global reactor's cooperator.

    :param body: the whole body.
    """

    def __init__(self, body: bytes) -> None:
        self._body = body
        self.length = len(body)

    def startProducing(self, consumer: Any) -> Deferred[None]:
        """Write the whole body."""
        consumer.write(self._body)
        return succeed(None)

    def pauseProducing(self) -> None:
        """Do nothing; everything is written at once."""

    def resumeProducing(self) -> None:
        """Do nothing; everything is written at once."""

    def stopProducing(self) -> None:
        """Do nothing; everything is written at once."""
