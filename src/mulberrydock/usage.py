"""Counts the requests of each team that began to run, by window of the time of day.

Each VM counts those of its own clients and sends its counts, which only grow, to the
VM that reports them and to those that would take its place. A message that is lost or
repeated changes nothing: the largest count of a VM is the latest.
"""

import attrs

#: Windows that a VM keeps: a new reporter asks for those that are still due.
RETAINED_WINDOWS = 6
#: Seconds after the end of a window until which a VM may still count a request in it: a
#: plain request is counted once its response shows whether it ran.
COUNT_DELAY_SECONDS = 1.2


@attrs.define(frozen=True)
class UsageUpdate:
    """The counts of one incarnation of a VM.

    ``started_at_ms`` identifies the incarnation, Unix milliseconds. Requests that
    began before ``counted_until`` (Unix seconds) are included. ``windows`` maps the
    numbers of windows to counts by team.
    """

    started_at_ms: int
    counted_until: float
    windows: dict


@attrs.define
class UsageCounter:
    """The requests that began at the instances for this VM's clients.

    :param window_seconds: length of a window; window 0 began at Unix time 0.
    """

    window_seconds: float
    windows: dict = attrs.field(factory=dict)

    def window(self, unix_time):
        """Return the number of the window that contains ``unix_time``."""
        return int(unix_time // self.window_seconds)

    def end(self, window):
        """Return the Unix time at which a window ends."""
        return (window + 1) * self.window_seconds

    def record(self, team, began_at):
        """Count a request of ``team`` that began at ``began_at`` (Unix seconds)."""
        counts = self.windows.setdefault(self.window(began_at), {})
        counts[team] = counts.get(team, 0) + 1

    def recent(self, unix_now):
        """Return the counts by window, without windows that are no longer kept."""
        oldest = self.window(unix_now) - RETAINED_WINDOWS
        self.windows = {k: v for k, v in self.windows.items() if k > oldest}
        return self.windows


@attrs.define
class UsageLedger:
    """The latest :class:`UsageUpdate` counts of each VM, as received.

    ``updates`` maps (VM, incarnation) to the latest counts by window and the time
    until which they are complete.
    """

    updates: dict = attrs.field(factory=dict)

    def receive(self, name, update):
        """Merge the counts of VM ``name``: they only grow within an incarnation."""
        key = (name, update.started_at_ms)
        windows, counted_until = self.updates.get(key, ({}, 0.0))
        for window, counts in update.windows.items():
            known = windows.setdefault(window, {})
            for team, count in counts.items():
                known[team] = max(count, known.get(team, 0))
        self.updates[key] = (windows, max(counted_until, update.counted_until))

    def total(self, window):
        """Return the requests of all VMs that began in a window, by team."""
        total = {}
        for windows, _ in self.updates.values():
            for team, count in windows.get(window, {}).items():
                total[team] = total.get(team, 0) + count
        return total

    def first_window(self, default):
        """Return the first window with counts of a VM, at most ``default``."""
        counted = (window for windows, _ in self.updates.values() for window in windows)
        return min([default, *counted])

    def is_complete(self, end):
        """Return whether every known VM has counted until ``end`` (Unix seconds)."""
        return all(until >= end for _, until in self.updates.values())

    def discard_before(self, window, unix_time):
        """Drop windows before ``window``, and VMs not heard of since ``unix_time``."""
        self.updates = {
            key: ({w: c for w, c in windows.items() if w >= window}, until)
            for key, (windows, until) in self.updates.items()
            if until >= unix_time
        }
