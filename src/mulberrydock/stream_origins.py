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


def origin_key(service, request_id):
    """Return the key of the stream of ``service`` whose first event a request brought.

    It has a fixed length, however long a client's id is.
    """
    return fingerprint("stream", service, request_id)


class OriginMessageKind(enum.IntEnum):
    """What a message about a stream's origin is for; the numbers are on the wire."""

    TELL = 0
    ASK = 1
    ANSWER = 2
    WRITE = 3


@attrs.define(frozen=True)
class StreamOrigin:
    """The version at which a stream goes on, as in ``InstanceRecord.stream_version``.

    ``key`` is the stream's :func:`origin_key`. The version is empty if it isn't known.
    """

    key: str
    version: str = ""


@attrs.define
class StreamOrigins:
    """The versions of the streams that this VM began or was told of.

    Methods take the current time as ``now``, in monotonic seconds.

    ``origins`` maps keys to (version, when it was last recorded), the oldest first.
    """

    origins: dict = attrs.field(factory=dict)

    def record(self, origin, now):
        """Remember a :class:`StreamOrigin`; the first version of a stream counts.

        :returns: the version that counts.
        """
        version, _ = self.origins.pop(origin.key, (origin.version, now))
        self.origins[origin.key] = (version, now)
        self._drop_expired(now)
        return version

    def get(self, key, now):
        """Return the version of a stream, empty if it isn't known."""
        version, recorded_at = self.origins.get(key, ("", now))
        return version if now - recorded_at <= RETENTION_SECONDS else ""

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
