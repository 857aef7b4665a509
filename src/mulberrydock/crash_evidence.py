"""What crashes and successes show about the work that requests have in common.

A crash of an instance is evidence against everything that was asked of it: each whole
request, and each part of a prompt that other requests share. Most of that is sound. An
answer that an instance went on writing shows that its work was sound when the answer
began. Work that was served shortly before its first crash rarely turns harmful. And one
cause explains a crash, so work that shares its crashes with a worse suspect is relieved
of them.
"""

import collections
import math

import attrs

from . import defaults
from .request import fingerprint

#: Seconds after a response's first event during which its request may be blamed for a
#: crash of its instance: what crashes an instance does so as it begins.
CRASH_BLAME_SECONDS = 0.25
#: Instance crashes under the same work, without a success in between, from which on it
#: is blamed for them.
CRASH_LIMIT = 3
#: Seconds for which served work counts as known to be sound.
SERVED_SECONDS = 600.0
#: Seconds between the first and the last crash of work that was known to be sound
#: before it is blamed: instances that are lost together may all be running the same
#: popular look-up.
MIN_SPREAD_SECONDS = 0.5
#: Maximum number of fingerprints of served work that are remembered.
MAX_SERVED_ENTRIES = 4096


@attrs.define(frozen=True)
class Crash:
    """A crash of one instance under one piece of work.

    Both are fingerprints, ``work`` that of a whole request or of a part that prompts
    share.
    """

    work: str
    instance: str

    @classmethod
    def of(cls, work, incarnation):
        """Return the crash of ``incarnation``, an instance's id, under ``work``."""
        return cls(work, fingerprint(incarnation))

    @classmethod
    def from_key(cls, key):
        """Return the crash that a store key names, None if it names none."""
        work, separator, instance = key.removeprefix(defaults.CRASH_PREFIX).partition(
            "/"
        )
        return cls(work, instance) if work and separator and instance else None

    @property
    def key(self):
        """The store key of its record."""
        return f"{defaults.CRASH_PREFIX}{self.work}/{self.instance}"


class CrashEvidence:
    """Crashes and successes by work, from all VMs.

    All times are monotonic seconds. ``crashes`` maps work to instances and the times
    at which they crashed; ``served_at`` maps work to the last time at
    which it was known to be sound.
    """

    def __init__(self):
        self.crashes = {}
        self.served_at = collections.OrderedDict()
        self._blamed = frozenset()
        self._changed = False

    def count(self, work):
        """Return how many instances are known to have crashed under ``work``."""
        return len(self.crashes.get(work, ()))

    def add(self, crash, crashed_at):
        """Add a crash; one that is known keeps its time."""
        self.crashes.setdefault(crash.work, {}).setdefault(crash.instance, crashed_at)
        self._changed = True

    def remove(self, crash):
        """Remove a crash, if it is known."""
        crashes = self.crashes.get(crash.work, {})
        crashes.pop(crash.instance, None)
        if not crashes:
            self.crashes.pop(crash.work, None)
        self._changed = True

    def record_served(self, work, at):
        """Record that ``work`` was sound at a time.

        :returns: the crashes until then, which had another cause.
        """
        if at > self.served_at.get(work, -math.inf):
            self.served_at[work] = at
            self.served_at.move_to_end(work)
            self._changed |= work in self.crashes
        while len(self.served_at) > MAX_SERVED_ENTRIES:
            self.served_at.popitem(last=False)
        return [
            Crash(work, instance)
            for instance, crashed_at in self.crashes.get(work, {}).items()
            if crashed_at <= at
        ]

    def was_served(self, work, at):
        """Return whether ``work`` was known to be sound shortly before ``at``."""
        return at - self.served_at.get(work, -math.inf) < SERVED_SECONDS

    def is_unproven(self, work):
        """Return whether crashes speak against ``work`` and no success for it."""
        crashes = self.crashes.get(work)
        return bool(crashes) and not self.was_served(work, min(crashes.values()))

    def last_crash_at(self, work):
        """Return when the newest crash under ``work`` happened."""
        return max(self.crashes[work].values())

    @property
    def blamed(self):
        """The works that are blamed for crashes."""
        if self._changed:
            self._blamed = frozenset(self._find_blamed())
            self._changed = False
        return self._blamed

    def _find_blamed(self):
        unexplained = {work: set(crashes) for work, crashes in self.crashes.items()}
        while True:
            ranks = {
                work: self._rank(work, len(instances))
                for work, instances in unexplained.items()
                if self._reaches_limit(work, instances)
            }
            if not ranks:
                return
            worst = max(ranks.values())
            explained = set()
            for work in [work for work, rank in ranks.items() if rank == worst]:
                yield work
                explained |= unexplained.pop(work)
            for instances in unexplained.values():
                instances -= explained

    def _rank(self, work, crash_count):
        """Return the sort key of a suspect; the greatest is the likeliest cause."""
        return self.is_unproven(work), crash_count, -self.served_at.get(work, 0.0)

    def _reaches_limit(self, work, unexplained):
        """Return whether ``work`` is to be blamed for its unexplained crashes.

        Of work that was known to be sound, all crashes count once one is unexplained:
        rare sound work, of which nothing is known, may share most of them.
        """
        times = self.crashes[work].values()
        if not unexplained or len(times) < CRASH_LIMIT:
            return False
        if self.is_unproven(work):
            return len(unexplained) >= CRASH_LIMIT
        return max(times) - min(times) >= MIN_SPREAD_SECONDS

    def has_rival(self, work):
        """Return whether other blamed work explains as many of the same crashes."""
        crashes = self.crashes.get(work, {}).keys()
        return any(
            other != work and len(crashes & self.crashes[other].keys()) >= CRASH_LIMIT
            for other in self.blamed
        )
