"""What the relay needs from the outside, as abstract base classes.

An adapter implements :class:`Wire` for the headers and engine calls of one platform; a
front implements :class:`Sink` for one client connection.
"""

import abc


class Wire(abc.ABC):
    """Names and formats of requests and responses; makes no decisions."""

    @abc.abstractmethod
    def read_request(self, start_line, headers, body, now):
        """Return the :class:`~mulberrydock.request.Request` of a client.

        :param now: time of its arrival, monotonic seconds.
        :raises BadRequest: when the request can't be one of a client.
        """

    @abc.abstractmethod
    def read_id(self, headers):
        """Return the id of a client's request, empty if it has none."""

    @abc.abstractmethod
    def read_time_limit(self, headers):
        """Return the seconds that a client waits for the answer to its request."""

    @abc.abstractmethod
    def upstream_headers(self, request, options):
        """Return the headers of one send.

        :param options: the :class:`~mulberrydock.request.SendOptions`.
        """

    @abc.abstractmethod
    def read_metadata(self, headers):
        """Return the :class:`~mulberrydock.request.ResponseMetadata` of a response."""

    @abc.abstractmethod
    def response_headers(self, headers):
        """Return the headers of a response to pass on, as (name, value) pairs."""

    @abc.abstractmethod
    def read_handle(self, address, body):
        """Return the :class:`~mulberrydock.request.KvHandle` of a prefill response.

        :raises UpstreamError: when the body isn't such a response.
        """

    @abc.abstractmethod
    def release_call(self, handle):
        """Return the :class:`UpstreamCall` that releases ``handle``."""

    @abc.abstractmethod
    def move_call(self, record, request_id, destination, last):
        """Return the :class:`UpstreamCall` that copies a run's memory to an engine.

        :param record: the :class:`InstanceRecord` of the engine that runs the request;
            ``destination`` is that of the other engine.
        :param last: whether the run stops before the copy.
        """

    @abc.abstractmethod
    def read_move(self, address, body):
        """Return the :class:`~mulberrydock.request.KvHandle` of a moved run.

        :param address: the engine that was called.
        :returns: None when the body names no handle.
        """

    @abc.abstractmethod
    def report_call(self, record):
        """Return the :class:`UpstreamCall` that asks for an engine's report."""

    @abc.abstractmethod
    def read_report(self, body):
        """Return the :class:`~mulberrydock.engine_report.EngineReport` in ``body``.

        :raises UpstreamError: when the body isn't such a response.
        """

    @abc.abstractmethod
    def stage_order_call(self, record, stage, orders, holder, token):
        """Return the :class:`UpstreamCall` that orders a stage.

        :param record: the engine's :class:`InstanceRecord`; the order is void once the
            engine has restarted.
        :param orders: the engine's order count on which this was decided; the order is
            void once the engine has accepted another one.
        :param token: the fencing token of ``holder``.
        """


class Sink(abc.ABC):
    """Where the response to one client request goes."""

    @abc.abstractmethod
    def respond(self, status, headers, body):
        """Send a whole response; ``headers`` are (name, value) pairs."""

    @abc.abstractmethod
    def begin(self, status, headers):
        """Begin a streamed response."""

    def state_version(self, version):
        """State the software version that begins a stream, before it begins.

        Clients aren't told; a peer that has forwarded its request is.
        """

    @abc.abstractmethod
    def write(self, chunk):
        """Send a part of a streamed response; return an awaitable for flow control."""

    @abc.abstractmethod
    def finish(self):
        """End a streamed response, which has begun, as complete."""

    @abc.abstractmethod
    def abort(self):
        """End a streamed response so that it can't pass as complete."""
