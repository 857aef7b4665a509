"""The unfinished work at an instance, and the sums of it over several VMs."""

import itertools

import attrs

#: Share of the longest prompt that still has to be prefilled when a more urgent one
#: arrives. If it is being prefilled, that is half of it on average; with the whole of
#: it, short prompts avoid engines where long ones wait and leave those engines to them.
LONGEST_SHARE = 1.0


@attrs.define(frozen=True)
class Load:
    """Unfinished work at an instance.

    ``running`` counts requests; ``prefill`` is the work of the prompts still to be
    prefilled, in tokens without context, by urgency: the most urgent at index 0, none
    for an urgency beyond its end. ``longest`` is the work of the longest of these
    prompts.
    """

    running: int = 0
    prefill: tuple = ()
    longest: int = 0

    @property
    def prefill_tokens(self):
        """All work still to be prefilled, in tokens without context."""
        return sum(self.prefill)

    def tokens_ahead(self, urgency):
        """Return the work that is prefilled before a new prompt of ``urgency``.

        Engines prefill the most urgent prompt first but finish one that they have
        begun, so a short urgent prompt waits for a long one under way. Which prompt
        that is isn't known here, so the longest one counts.
        """
        under_way = self._under_way(urgency) * LONGEST_SHARE
        return sum(self.prefill[: urgency + 1]) + under_way

    def expected_tokens_ahead(self, urgency):
        """Return the work that is expected to be prefilled before such a prompt.

        A less urgent prompt under way is half done on average. Unlike
        :meth:`tokens_ahead`, which weighs engines against each other, this is no
        reason to avoid the engine.
        """
        return sum(self.prefill[: urgency + 1]) + self._under_way(urgency) / 2

    def _under_way(self, urgency):
        """Return the work of the less urgent prompt that may be under way."""
        return min(self.longest, sum(self.prefill[urgency + 1 :]))


def combined(loads):
    """Return the sum of several VMs' :class:`Load` at one instance.

    Its ``longest`` is that of the longest prompt of any of them.
    """
    levels = itertools.zip_longest(*(load.prefill for load in loads), fillvalue=0)
    return Load(
        sum(load.running for load in loads),
        tuple(map(sum, levels)),
        max(load.longest for load in loads),
    )


@attrs.define(eq=False)
class InstanceSum:
    """The sum of the loads at one instance; ``longest`` is by source."""

    running: int = 0
    prefill: list = attrs.field(factory=list)
    longest: dict = attrs.field(factory=dict)

    def add(self, source, load):
        """Add the load of a source that isn't in the sum."""
        self.running += load.running
        self.longest[source] = load.longest
        missing = len(load.prefill) - len(self.prefill)
        if missing > 0:
            self.prefill += [0] * missing
        for level, tokens in enumerate(load.prefill):
            self.prefill[level] += tokens

    def remove(self, source, load):
        """Remove the load of a source."""
        self.running -= load.running
        del self.longest[source]
        for level, tokens in enumerate(load.prefill):
            self.prefill[level] -= tokens

    def load(self):
        """Return the sum as a :class:`Load`."""
        return Load(self.running, tuple(self.prefill), max(self.longest.values()))


class LoadSum:
    """The sum of the loads of several sources, by instance id.

    A source that changes is taken out of the sums and added again: all sources and
    instances are too many for each decision. The counts are whole numbers, so nothing
    is rounded.
    """

    def __init__(self):
        self.sources = {}
        self.sums = {}
        self.totals = {}
        self.changed = set()

    def replace(self, source, loads):
        """Set the loads of a source, by instance id; none remove it."""
        former, sums = self.sources.pop(source, {}), self.sums
        for instance_id, load in former.items():
            sums[instance_id].remove(source, load)
        for instance_id, load in loads.items():
            if instance_id not in sums:
                sums[instance_id] = InstanceSum()
            sums[instance_id].add(source, load)
        if loads:
            self.sources[source] = loads
        self.changed.update(former, loads)

    def total(self):
        """Return the sum by instance id; the caller must not change it."""
        for instance_id in self.changed:
            if self.sums[instance_id].longest:
                self.totals[instance_id] = self.sums[instance_id].load()
            else:
                del self.sums[instance_id]
                self.totals.pop(instance_id, None)
        self.changed.clear()
        return self.totals
