"""What a pool of connections asks a peer before it trusts who that is."""

import abc


class ConnectionCheck(abc.ABC):
    """Asks the peer who it is, as another process may have its address by now.

    ``is_required`` says whether a request may only be sent once that is confirmed; if
    not, the peer is asked meanwhile.
    """

    is_required: bool

    @property
    @abc.abstractmethod
    def call(self):
        """The :class:`~mulberrydock.request.UpstreamCall` that asks."""

    @abc.abstractmethod
    def accept_response(self, status, headers):
        """Return whether a response is the one to :attr:`call`."""

    @abc.abstractmethod
    def confirms(self, response, now):
        """Return whether a response confirms who answers.

        :param response: a :class:`~mulberrydock.connections.BufferedResponse`.
        :param now: monotonic seconds.
        """

    @abc.abstractmethod
    def start(self, confirmation):
        """Run a coroutine, which returns whether it is confirmed, in the background."""

    @abc.abstractmethod
    async def result(self, timeout=None):
        """Return what the coroutine does, False if that takes too long.

        :param timeout: seconds, None to wait for its end.
        """
