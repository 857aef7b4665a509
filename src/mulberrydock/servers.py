"""The HTTP servers of an entry VM on the hosting platform."""

import attrs

from ._http import split_address
from .exceptions import ResultCode
from .forward_messages import ForwardOutcome
from .inbound import InboundServer, PageBounds, RequestBounds
from .pages import make_pages
from .request import RequestLimits

#: Maximum size of what a peer adds to the request that it forwards: its head, and what
#: it knows of the request.
FORWARD_BYTES = 256 * 1024
#: Seconds for which a peer's connection may be idle; peers give idle ones up sooner.
PEER_IDLE_SECONDS = 120.0
#: Maximum size of the body of a request for a page; none has one.
PAGE_BODY_BYTES = 64 * 1024
#: Seconds for which the limits of the former configuration still hold, as a multiple of
#: the time in which a new one must be in force.
FORMER_LIMITS_FACTOR = 2.0


@attrs.define
class ClientBounds(RequestBounds):
    """Bounds of clients' requests, which state their ids and the time they have."""

    wire: object = attrs.field(kw_only=True)

    def request_id(self, headers):
        return self.wire.read_id(headers)

    def body_timeout(self, headers):
        return self.wire.read_time_limit(headers)


@attrs.define
class ForwardBounds(RequestBounds):
    """Bounds of forwarded requests. A refusal tells the peer that nothing has run."""

    def refusal_fields(self, status):
        outcome = ForwardOutcome(ResultCode.NOT_READY, cause=f"refused with {status}")
        return dict(outcome.headers()) if status == 503 else {}


@attrs.define
class Servers:
    """The servers of one VM. Create it with :meth:`from_daemon`.

    ``front`` takes clients' requests, ``forward`` those of peers, and ``pages`` serves
    readiness, the directory and the metrics.
    """

    front: InboundServer
    forward: InboundServer
    pages: InboundServer
    settings: object

    @classmethod
    def from_daemon(cls, daemon, wire):
        """Build the servers of a :class:`~mulberrydock.serve.ServeDaemon`."""
        limits = RequestLimits()
        page_limits = attrs.evolve(limits, max_body_bytes=PAGE_BODY_BYTES)
        bounds = (
            (daemon.front, ClientBounds(limits, wire=wire)),
            # The message that a peer has sent is kept beside the request in it.
            (daemon.forward_front, ForwardBounds(_forward_limits(limits), copies=2)),
            (make_pages(daemon), PageBounds(page_limits, answered_at_once=True)),
        )
        on_refuse = daemon.metrics.inbound.record_refusal
        servers = [
            InboundServer(delegate, daemon.connections, bound, on_refuse)
            for delegate, bound in bounds
        ]
        return cls(*servers, daemon.settings)

    def listen(self):
        """Listen on the addresses of the settings.

        :raises OSError: when one of them can't be bound.
        """
        listen = self.settings.listen
        self._listen(self.front, listen.front)
        self.forward.listen(listen.peer_ports[0], self.settings.ip)
        for address in {listen.ready, listen.directory}:
            self._listen(self.pages, address)
        if listen.metrics_port:
            self.pages.listen(listen.metrics_port, self.settings.ip)

    def _listen(self, server, address):
        host, port = split_address(address)
        server.listen(port, host)

    def apply_limits(self, limits, now):
        """Put the limits of a new configuration in force."""
        seconds = self.settings.timing.config_apply_seconds * FORMER_LIMITS_FACTOR
        self.front.bounds.replace(limits, now, seconds)
        self.forward.bounds.replace(_forward_limits(limits), now, seconds)


def _forward_limits(limits):
    """Return the limits of forwarded requests, whose clients stay within ``limits``."""
    return attrs.evolve(
        limits,
        max_body_bytes=limits.max_body_bytes + limits.max_header_bytes + FORWARD_BYTES,
        idle_timeout=PEER_IDLE_SECONDS,
    )
