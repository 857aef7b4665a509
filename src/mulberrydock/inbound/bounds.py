"""What one request to a server may be."""

import attrs

from ..request import RequestLimits

#: Seconds for the body of a request that names no time of its own.
BODY_SECONDS = 60.0
#: Content types of forms.
FORM_TYPES = ("application/x-www-form-urlencoded", "multipart/form-data")


@attrs.define
class RequestBounds:
    """Limits on each request to a server; they change with the configuration.

    A client may still follow the configuration before the present one: for a while, the
    wider limits of the two hold.

    :param limits: the :class:`~mulberrydock.request.RequestLimits` in force.
    :param copies: how often a body is in memory while its whole request is served.
    :param answered_at_once: whether no request waits for its response.
    """

    limits: RequestLimits
    copies: int = 1
    answered_at_once: bool = False
    previous: RequestLimits | None = None
    previous_until: float = 0.0

    def replace(self, limits, now, seconds):
        """Put ``limits`` in force; those before them hold for some seconds more."""
        if limits == self.limits:
            return
        self.previous, self.limits = self.limits, limits
        self.previous_until = now + seconds

    def _widest(self, name, now):
        value = getattr(self.limits, name)
        if self.previous is None or now >= self.previous_until:
            return value
        return max(value, getattr(self.previous, name))

    def max_header_bytes(self, now):
        """Return the maximum size of a request's header fields."""
        return self._widest("max_header_bytes", now)

    def max_body_bytes(self, now):
        """Return the maximum size of a request's body."""
        return self._widest("max_body_bytes", now)

    def header_timeout(self, now):
        """Return the seconds from the first byte of a head to its end."""
        return self._widest("header_timeout", now)

    def idle_timeout(self, now):
        """Return the seconds for which a connection may carry no request."""
        return self._widest("idle_timeout", now)

    def request_id(self, headers):
        """Return the id of a request for the log, empty if it has none."""
        return ""

    def body_timeout(self, headers):
        """Return the seconds for a request's body, by the time that its client has."""
        return BODY_SECONDS

    def prepare(self, headers):
        """Change the header fields that its server sees."""

    def refusal_fields(self, status):
        """Return the header fields of a refusal beside those of HTTP."""
        return {}


@attrs.define
class PageBounds(RequestBounds):
    """Bounds of requests to a tornado application, none of which takes forms.

    Tornado parses a form before its handler is called, into many times its size.
    """

    def prepare(self, headers):
        if headers.get("Content-Type", "").lower().startswith(FORM_TYPES):
            del headers["Content-Type"]
