"""Which software versions of each service this VM has seen of late.

While a service has had one version only for longer than any stream lasts, all its
streams are of that version, also those of which this VM knows nothing else.
"""

import attrs

from .stream_origins import RETENTION_SECONDS

#: Seconds without an observation after which the history begins anew: this VM was
#: frozen meanwhile and may have missed a version.
MAX_GAP_SECONDS = 2.0


@attrs.define
class VersionHistory:
    """When each version of each service was last seen.

    Methods take the current time as ``now``, in monotonic seconds.

    ``seen_at`` maps (service, version) to when an instance of it was last registered;
    the history is complete since ``complete_since``, None before the first observation.
    """

    seen_at: dict = attrs.field(factory=dict)
    complete_since: float | None = None
    observed_at: float | None = None

    def restart(self, now):
        """Begin anew, as versions may have been missed up to ``now``."""
        self.complete_since = now

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

    def sole_version(self, service, now):
        """Return the only version that streams of ``service`` can be of, or empty."""
        if self.complete_since is None or now - self.complete_since < RETENTION_SECONDS:
            return ""
        if now - self.observed_at > MAX_GAP_SECONDS:
            return ""
        versions = [version for name, version in self.seen_at if name == service]
        return versions[0] if len(versions) == 1 else ""
