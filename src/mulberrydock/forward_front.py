"""The server that takes requests forwarded by peers."""

import asyncio

from loguru import logger

from . import forward_messages
from .exceptions import ResultCode
from .forward_messages import ForwardOutcome
from .front import Front
from .front_sink import ConnectionSink


class ForwardSink(ConnectionSink):
    """Sends the response to one forwarded request, with its outcome.

    The outcome is known last, so :meth:`complete` sends what :meth:`respond` and
    :meth:`abort` were called for.
    """

    def __init__(self, connection, closing):
        super().__init__(connection, closing)
        self.response = None
        self.version = ""

    def state_version(self, version):
        self.version = version

    def respond(self, status, headers, body):
        self.response = status, headers, body

    def begin(self, status, headers):
        stated = (forward_messages.VERSION_HEADER, self.version)
        super().begin(status, [*headers, stated])

    def abort(self):
        """Leave the end of the response to :meth:`complete`."""

    def complete(self, outcome):
        """End the response with a :class:`ForwardOutcome`."""
        if self.response is not None:
            status, headers, body = self.response
            super().respond(status, [*headers, *outcome.headers()], body)
        elif not self.done and self.begun:
            self.connection.write(outcome.comment())
            self.finish()

    def close(self):
        """Close the connection: it is unknown what has become of the request."""
        self.done = True
        self.connection.close()


class ForwardFront(Front):
    """Takes forwarded requests and tracks those in progress.

    :param key: the key that signs requests forwarded to this VM.
    """

    def __init__(self, relay, key, clock):
        super().__init__(relay, relay.wire, clock)
        self.key = key

    def make_sink(self, connection, version):
        return ForwardSink(connection, self.closing)

    def start(self, start_line, headers, body, sink):
        signature = headers.get(forward_messages.SIGNATURE_HEADER, "")
        return self.track(self._serve_signed(body, signature, sink))

    async def _serve_signed(self, body, signature, sink):
        """Serve the request in ``body`` if a peer has signed it."""
        if not forward_messages.is_signed(self.key, body, signature):
            # The sender may know the key of this VM's former process.
            self._decline(sink, ResultCode.BAD_REQUEST, "wrong signature")
            return
        try:
            forwarded = forward_messages.decode(body, self.clock())
        except Exception as error:  # capnp raises undocumented types
            self._decline(sink, ResultCode.BAD_REQUEST, repr(error))
            return
        if self.refusing:
            self._decline(sink, ResultCode.DRAINING, "stopping")
            return
        await self._serve(forwarded, sink)

    def _decline(self, sink, code, cause):
        logger.warning("forwarded request declined", code=code.name, cause=cause)
        sink.respond(503, [], b"")
        sink.complete(ForwardOutcome(code, cause=cause))

    async def _serve(self, forwarded, sink):
        try:
            outcome = await self.relay.serve_forwarded(forwarded, sink)
            sink.complete(outcome)
        except asyncio.CancelledError:
            # The relay has logged that the peer left.
            sink.close()
        except Exception:
            logger.exception("request fault", request=forwarded.request.id)
            sink.close()
