"""Remembers which software version began each stream.

What two versions write doesn't fit together, so a stream goes on only at the version
that began it.
"""

import enum

import attrs

from .request import fingerprint

#: Seconds for which the version of a stream is remembered after it was last told: no
#: client goes on with a stream for longer.
RETENTION_SECONDS = 60.0
#: Maximum number of streams that are remembered; the oldest are dropped first.
MAX_ORIGINS = 20_000
#: Version of a stream whose instance isn't known: it is no instance's version, so the
#: stream goes on nowhere.
UNKNOWN_VERSION = "@"


def origin_key(request_id):
    """Return the key of the stream whose first event a request brought.

    It has a fixed length, however long a client's id is.
    """
    return fingerprint("stream", request_id)


class OriginMessageKind(enum.IntEnum):
    """What a message about a stream's origin is for; the numbers are on the wire."""

    TELL = 0
    ASK = 1
    ANSWER = 2
    WRITE = 3


@attrs.define(frozen=True)
class StreamOrigin:
    """The service and version at which a stream goes on.

    ``key`` is the stream's :func:`origin_key`. The version is as in
    ``InstanceRecord.stream_version``. Both are empty if they aren't known.
    """

    key: str
    version: str = ""
    service: str = ""


@attrs.define
class StreamOrigins:
    """The versions of the streams that this VM began or was told of.

    Methods take the current time as ``now``, in monotonic seconds.

    ``origins`` maps keys to (origin, when it was last recorded), the oldest first.
    """

    origins: dict = attrs.field(factory=dict)

    def record(self, origin, now):
        """Remember a :class:`StreamOrigin`; the first one of a stream counts.

        :returns: the version that counts.
        """
        first, _ = self.origins.pop(origin.key, (origin, now))
        self.origins[origin.key] = (first, now)
        self._drop_expired(now)
        return first.version

    def find(self, key, now):
        """Return the :class:`StreamOrigin` of a stream, only its key if unknown."""
        origin, recorded_at = self.origins.get(key, (StreamOrigin(key), now))
        return origin if now - recorded_at <= RETENTION_SECONDS else StreamOrigin(key)

    def get(self, key, now):
        """Return the version of a stream, empty if it isn't known."""
        return self.find(key, now).version

    def age(self, key, now):
        """Return the seconds since a stream was recorded, None if it wasn't."""
        row = self.origins.get(key)
        return now - row[1] if row else None

    def _drop_expired(self, now):
        while self.origins:
            key = next(iter(self.origins))
            _, recorded_at = self.origins[key]
            expired = now - recorded_at > RETENTION_SECONDS
            if not expired and len(self.origins) <= MAX_ORIGINS:
                return
            del self.origins[key]
