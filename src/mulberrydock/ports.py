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
    def read_marks(self, headers):
        """Return the :class:`~mulberrydock.request.ResponseMarks` of an answer."""

    @abc.abstractmethod
    def read_handle(self, address, body):
        """Return the :class:`~mulberrydock.request.KvHandle` of a prefill answer.

        :raises UpstreamError: when the body isn't such an answer.
        """

    @abc.abstractmethod
    def release_path(self, handle):
        """Return the path that frees ``handle`` by ``DELETE``."""


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
