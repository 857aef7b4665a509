"""What the relay needs from the outside, as abstract base classes.

An adapter implements :class:`Wire` for the headers and engine calls of one
platform; a front implements :class:`Sink` for one client connection.
"""

import abc


class Wire(abc.ABC):
    """Names and formats of requests and answers; decides nothing."""

    @abc.abstractmethod
    def read_request(self, start_line, headers, body, now):
        """Return the :class:`~mulberrydock.request.Request` of a client.

        :raises BadRequest: when the request can't be one of a client.
        """

    @abc.abstractmethod
    def upstream_headers(self, request, options):
        """Return the headers of one send, from :class:`SendOptions`."""

    @abc.abstractmethod
    def read_metadata(self, headers):
        """Return the :class:`~mulberrydock.request.ResponseMetadata` of an answer."""

    @abc.abstractmethod
    def response_headers(self, headers):
        """Return an answer's headers to pass on, as (name, value) pairs."""

    @abc.abstractmethod
    def read_handle(self, address, body):
        """Return the :class:`~mulberrydock.request.KvHandle` of a prefill answer.

        :raises UpstreamError: when the body isn't such an answer.
        """

    @abc.abstractmethod
    def release_call(self, handle):
        """Return the :class:`UpstreamCall` that frees ``handle``."""

    @abc.abstractmethod
    def report_call(self, record):
        """Return the :class:`UpstreamCall` that asks for an engine's report."""

    @abc.abstractmethod
    def read_report(self, body):
        """Return the :class:`~mulberrydock.instances.EngineReport` in ``body``.

        :raises UpstreamError: when the body isn't such an answer.
        """

    @abc.abstractmethod
    def stage_order_call(self, record, stage, orders, holder, token):
        """Return the :class:`UpstreamCall` that orders a stage.

        :param record: the engine's :class:`InstanceRecord`; the order is void
            once the engine restarted.
        :param orders: the engine's order count on which this was decided; the
            order is void once it took another one.
        :param token: the fencing token of ``holder``.
        """


class Sink(abc.ABC):
    """Where the answer to one client request goes."""

    @abc.abstractmethod
    def respond(self, status, headers, body):
        """Send a whole answer; ``headers`` are (name, value) pairs."""

    @abc.abstractmethod
    def begin(self, status, headers):
        """Begin a streamed answer."""

    @abc.abstractmethod
    def write(self, chunk):
        """Send a part of a streamed answer; return an awaitable for flow control."""

    @abc.abstractmethod
    def finish(self):
        """End a streamed answer as complete."""

    @abc.abstractmethod
    def abort(self):
        """End a streamed answer so that it can't pass as complete."""
