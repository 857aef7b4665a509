"""Which software versions of each service have been in use of late.

While a service has had one version only for longer than any stream lasts, all its
streams are of that version, also those of which this VM knows nothing else.
"""

import math

import attrs

from .stream_origins import RETENTION_SECONDS, UNKNOWN_VERSION

#: Seconds without an observation after which the history begins anew: this VM was
#: frozen meanwhile and may have missed a version.
MAX_GAP_SECONDS = 2.0


def is_stated(version):
    """Return whether a stream's version is one that its instance states."""
    return not version.startswith(UNKNOWN_VERSION)


@attrs.define
class VersionHistory:
    """When each version of each service was last seen.

    Methods take the current time as ``now``, in monotonic seconds.

    ``seen_at`` maps (service, version) to when an instance of it was last registered;
    the history is complete since ``complete_since``, None before the first observation.
    ``recorded`` maps services to the versions that the store holds of them, None until
    they were read; ``is_recorded`` is False when versions may have been added since.
    The store lacks records until ``incomplete_until``. ``read_at`` is when it last told
    this VM all changes, None before.
    """

    seen_at: dict = attrs.field(factory=dict)
    complete_since: float | None = None
    observed_at: float | None = None
    recorded: dict | None = None
    is_recorded: bool = False
    incomplete_until: float = -math.inf
    read_at: float | None = None

    def restart(self, now):
        """Begin anew, as versions may have been missed up to ``now``."""
        self.complete_since = now
        self.is_recorded = False

    def record_read(self, now):
        """Record that the store has told this VM all changes."""
        self.read_at = now

    def confirm(self, now):
        """Record that all changes of the store are read.

        :returns: whether they show all versions in use. A store that was restored from
            an older copy doesn't, until the instances have written their records again.
        """
        is_whole = now >= self.incomplete_until
        self.is_recorded = is_whole and self.recorded is not None
        return is_whole

    def record(self, service, version, now):
        """Record that an instance of ``version`` is registered."""
        self.seen_at[service, version] = now

    def observe(self, instances, now):
        """Record all registered instances, at regular intervals."""
        if self.observed_at is None or now - self.observed_at > MAX_GAP_SECONDS:
            self.restart(now)
        self.observed_at = now
        for instance in instances:
            record = instance.record
            self.record(record.service, record.stream_version, now)
        self.seen_at = {
            key: at for key, at in self.seen_at.items() if now - at <= RETENTION_SECONDS
        }

    def is_complete(self, now):
        """Return whether this VM has seen all versions whose streams may go on."""
        if self.complete_since is None or now - self.observed_at > MAX_GAP_SECONDS:
            return False
        return now - self.complete_since >= RETENTION_SECONDS

    def seen(self, service):
        """Return the versions of a service that this VM has seen."""
        return {version for name, version in self.seen_at if name == service}

    def _known(self, service, now):
        """Return the versions of a service that this VM has seen or read of."""
        if self.is_complete(now):
            return self.seen(service)
        return self.seen(service) | set((self.recorded or {}).get(service, ()))

    def sole_version(self, service, now):
        """Return the only version that streams of ``service`` can be of, or empty.

        It holds for streams that began before this VM last read the store.
        """
        versions = self._known(service, now)
        if len(versions) != 1:
            return ""
        read = self.is_recorded and service in self.recorded
        return versions.pop() if read or self.is_complete(now) else ""

    def has_several(self, service, now):
        """Return whether streams of a service may be of different stated versions."""
        versions = self._known(service, now)
        return len(versions) > 1 and any(is_stated(version) for version in versions)
