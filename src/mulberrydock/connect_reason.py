"""Why a connection to an upstream is made, as the label of a metric."""

import enum


class ConnectReason(enum.Enum):
    """Why a connection is made."""

    #: None has been made yet, or only for a probe.
    FIRST = "first"
    #: Those that are open serve requests.
    BUSY = "busy"
    #: The last idle one was kept for as long as the peer allows.
    EXPIRED = "expired"
    #: The peer closed the last idle one, or sent bytes that nobody asked for.
    CLOSED = "closed"
    #: The last response said that its connection ends.
    ENDED = "ended"
    #: The last exchange was broken off, by either side.
    BROKEN = "broken"
    #: More idle ones than are kept.
    SURPLUS = "surplus"
    #: To ask the peer which incarnation it is.
    CHECK = "check"
    #: To learn whether the peer listens.
    PROBE = "probe"
