"""Splits a stream of server-sent events into whole events and checks their ids."""

from .exceptions import ResultCode, UpstreamError

EVENT_END = b"\n\n"
#: Maximum size of one event, which is held until its end.
MAX_EVENT_BYTES = 1024 * 1024
ID_FIELD = b"id:"


def event_id(event):
    """Return the integer ``id`` of one event's bytes, None when it has none."""
    for line in event.split(b"\n"):
        if line.startswith(ID_FIELD):
            try:
                return int(line[len(ID_FIELD) :])
            except ValueError:
                return None
    return None


class EventSplitter:
    """Splits received bytes into whole events and checks their order.

    An engine may stop in the middle of an event; only whole events are passed on, so
    that a resumed stream continues at an event boundary.

    :param last_id: id of the last event the client already has, 0 for none.
    """

    def __init__(self, last_id=0):
        self.last_id = last_id
        self.buffer = bytearray()
        self.count = 0

    def feed(self, chunk):
        """Return the bytes of the events completed by ``chunk``, which may be none.

        :raises UpstreamError: when an event's id isn't greater than the previous one,
            as an event would be sent twice or out of order, or when an event is too
            large.
        """
        # Only the new bytes are searched: an event may come in many small parts.
        overlap = len(EVENT_END) - 1
        ends = (self.buffer[-overlap:] + chunk).rfind(EVENT_END) >= 0
        self.buffer += chunk
        if not ends:
            self._check_size()
            return b""
        whole, separator, rest = bytes(self.buffer).rpartition(EVENT_END)
        self.buffer = bytearray(rest)
        self._check_size()
        events, last_id = whole.split(EVENT_END), self.last_id
        for event in events:
            last_id = self._check(event, last_id)
        # Not before all are sound: a stream resumes after what was passed on.
        self.last_id = last_id
        self.count += len(events)
        return whole + separator

    def _check_size(self):
        if len(self.buffer) > MAX_EVENT_BYTES:
            self.buffer = bytearray()
            raise UpstreamError(
                f"event of more than {MAX_EVENT_BYTES} bytes", ResultCode.STREAM_CUT
            )

    def _check(self, event, last_id):
        """Return the id of the last event with one, given that of the one before."""
        number = event_id(event)
        if number is None:
            return last_id
        if number <= last_id:
            raise UpstreamError(
                f"event {number} after {last_id}", ResultCode.STREAM_CUT
            )
        return number

    @property
    def clean(self):
        """True when no partial event is left over."""
        return not self.buffer.strip()
