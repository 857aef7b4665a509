"""Splits a stream of server-sent events into whole events with their ids."""

from .exceptions import ResultCode, UpstreamError

END = b"\n\n"
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
    """Cuts received bytes into whole events and checks their order.

    An engine may stop in the middle of an event; only whole ones are handed
    on, so that a resumed stream goes on at an event's edge.

    :param last_id: id of the last event the client already has, 0 for none.
    """

    def __init__(self, last_id=0):
        self.last_id = last_id
        self.buffer = b""
        self.count = 0

    def feed(self, chunk):
        """Return the bytes of all whole events so far, which may be none.

        :raises UpstreamError: when an event's id doesn't follow: a piece
            would be missing or come twice.
        """
        self.buffer += chunk
        whole, separator, rest = self.buffer.rpartition(END)
        if not separator:
            return b""
        self.buffer = rest
        for event in whole.split(END):
            self._check(event)
        return whole + separator

    def _check(self, event):
        number = event_id(event)
        self.count += 1
        if number is None:
            return
        if number <= self.last_id:
            raise UpstreamError(
                f"event {number} after {self.last_id}", ResultCode.STREAM_CUT
            )
        self.last_id = number

    @property
    def clean(self):
        """True when no part of an event is left over."""
        return not self.buffer.strip()
