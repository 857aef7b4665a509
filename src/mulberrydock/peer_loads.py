"""What the entry VMs together have in flight at each instance.

Each VM sends its own counts to its peers several times a second; a VM sees
only an eighth or a ninth of the requests itself, so its own counts alone say
little about how busy an engine is.
"""

import collections
import itertools

import attrs

#: Intervals of a peer's messages after which its counts say nothing about the
#: present: three lost datagrams in a row are rare.
LOAD_EXPIRY_INTERVALS = 4
#: Intervals without a message after which a peer is taken to be unreachable.
SILENT_INTERVALS = 6
#: Seconds between two messages of a peer that doesn't say.
DEFAULT_INTERVAL_SECONDS = 0.2


#: Peers whose requests must have failed at an instance for it to be passed over here
#: as well; one alone may have trouble of its own.
WITNESSES = 2
#: Share of the longest prompt that counts as unread when a more urgent one
#: arrives. Half of it is, on average, if it is being prefilled; but a short
#: prompt that is kept away from where long ones wait leaves the engine to them.
STARTED_SHARE = 1.0


@attrs.define(frozen=True)
class Load:
    """Unfinished work at an instance.

    ``running`` counts requests; ``prefill`` holds the prompt tokens not yet
    read, by urgency: at index 0 the most urgent ones, nothing less urgent than
    its length. ``longest`` are the tokens of the longest of these prompts.
    """

    running: int = 0
    prefill: tuple = ()
    longest: int = 0

    @property
    def prefill_tokens(self):
        """All prompt tokens not yet read."""
        return sum(self.prefill)

    def ahead(self, urgency):
        """Return the tokens that are read before a new prompt of ``urgency``.

        Engines read the most urgent prompt first but finish the one that they
        have begun: a short urgent prompt behind a long one waits for it. Which
        one that is isn't known here, so the longest counts.
        """
        later = sum(self.prefill[urgency + 1 :])
        begun = min(self.longest, later) * STARTED_SHARE
        return sum(self.prefill[: urgency + 1]) + begun


def combined(loads):
    """Return the sum of several VMs' :class:`Load` at one instance."""
    levels = itertools.zip_longest(*(load.prefill for load in loads), fillvalue=0)
    return Load(
        sum(load.running for load in loads),
        tuple(map(sum, levels)),
        max(load.longest for load in loads),
    )


@attrs.define(frozen=True)
class PeerReport:
    """Loads by instance id as a peer sent them, and when they arrived.

    ``interval`` is the seconds until its next message, ``suspects`` are the
    instances that it passes over, as its own requests failed there.
    """

    sequence: int
    received_at: float
    loads: dict
    leaving: bool = False
    cordoned: frozenset = frozenset()
    interval: float = DEFAULT_INTERVAL_SECONDS
    suspects: frozenset = frozenset()

    def fresh(self, now):
        """True while the counts say something about the present."""
        return now - self.received_at <= LOAD_EXPIRY_INTERVALS * self.interval

    def is_reachable(self, now):
        """True while the peer is taken to be reachable."""
        return now - self.received_at <= SILENT_INTERVALS * self.interval


@attrs.define(eq=False)
class InFlightSend:
    """One send counted in a :class:`LoadTracker` until it ends.

    ``tokens`` are those still to be read, 0 once the prompt is prefilled.
    """

    tracker: object
    instance_id: str
    tokens: int
    urgency: int = 0

    def mark_prefilled(self):
        """The prompt is read: only the running request still counts."""
        self.tokens = 0

    def end(self):
        """The send is over."""
        self.tracker.drop(self)


def _load_of(works):
    """Return the :class:`Load` that this VM's sends to one instance make."""
    prefill = [0] * (1 + max(work.urgency for work in works))
    for work in works:
        prefill[work.urgency] += work.tokens
    return Load(len(works), tuple(prefill), max(work.tokens for work in works))


def _added(books):
    """Return the sum of several loads by instance id."""
    by_instance = {}
    for loads in books:
        for instance_id, load in loads.items():
            by_instance.setdefault(instance_id, []).append(load)
    return {i: combined(loads) for i, loads in by_instance.items()}


class LoadTracker:
    """This VM's own loads and those its peers reported.

    ``reports`` are those of single peers by their names, ``sums`` those of whole
    data centres by theirs; a peer is in one of the two only.
    """

    def __init__(self):
        self.works = {}
        self.cordoned_until = {}
        self.reports = {}
        self.sums = {}
        self.sum_sequences = {}

    def cordon(self, instance_id, until):
        """Give an instance under change no new work until then, here and at
        the peers that hear of it."""
        self.cordoned_until[instance_id] = until

    def own_cordoned(self, now):
        """Return the instances that this VM holds."""
        self.cordoned_until = {i: t for i, t in self.cordoned_until.items() if t > now}
        return set(self.cordoned_until)

    def cordoned(self, now):
        """Return the instances that get no new work, by any VM's word."""
        cordoned = self.direct_cordoned(now)
        for report in self._fresh_sums(now):
            cordoned |= report.cordoned
        return cordoned

    def direct_cordoned(self, now):
        """Return the instances held by this VM's word, or that of a peer that
        tells this VM directly.

        Only these are passed on in a sum: what comes from another one would go
        round between data centres for ever.
        """
        cordoned = self.own_cordoned(now)
        for report in self.fresh(now).values():
            cordoned |= report.cordoned
        return cordoned

    def begin(self, instance_id, tokens, urgency=0):
        """Count a send in whose prompt has ``tokens`` to read; return its
        :class:`InFlightSend`."""
        work = InFlightSend(self, instance_id, tokens, urgency)
        self.works.setdefault(instance_id, set()).add(work)
        return work

    def drop(self, work):
        """Count a send out; a second time changes nothing."""
        works = self.works.get(work.instance_id, set())
        works.discard(work)
        if not works:
            self.works.pop(work.instance_id, None)

    def forget(self, instance_id):
        """An incarnation is over: its work and its hold with it."""
        self.works.pop(instance_id, None)
        self.cordoned_until.pop(instance_id, None)

    def own(self):
        """Return this VM's own loads by instance id."""
        return {i: _load_of(works) for i, works in self.works.items()}

    def receive(self, peer, report):
        """Take a peer's report unless a newer one was seen.

        A peer that restarted counts from a new, larger sequence, which is
        drawn from its clock.
        """
        known = self.reports.get(peer)
        if known is None or report.sequence > known.sequence:
            self.reports[peer] = report

    def fresh(self, now):
        """Return the peers' reports that still say something."""
        return {
            peer: report for peer, report in self.reports.items() if report.fresh(now)
        }

    def suspected_by_peers(self, now):
        """Return the instances at which requests of several peers failed.

        The load pattern this answers is a large fleet before engines that crash: if
        each VM had to find out by itself, each would lose a request or two to each
        of them, more than its share of the retry budget makes good.
        """
        counts = collections.Counter()
        for report in self.fresh(now).values():
            counts.update(report.suspects)
        return {name for name, count in counts.items() if count >= WITNESSES}

    def receive_sum(self, data_centre, reporter, report):
        """Take the sum of a data centre; False when it was seen before.

        Several VMs report for each, and each report comes on several ways. All
        of them see nearly the same, so the one that came last counts.
        """
        if self.sum_sequences.get(reporter, 0) >= report.sequence:
            return False
        self.sum_sequences[reporter] = report.sequence
        self.sums[data_centre] = report
        return True

    def _fresh_sums(self, now):
        return [report for report in self.sums.values() if report.fresh(now)]

    def report_delay(self, now):
        """Return the seconds for which peers' sends may not be known.

        What a peer sent is heard after its interval at the latest, that of another
        data centre after both intervals.
        """
        direct = (report.interval for report in self.fresh(now).values())
        sums = (report.interval for report in self._fresh_sums(now))
        return max(direct, default=0.0) + max(sums, default=0.0)

    def direct_total(self, now):
        """Return the loads of this VM and of the peers that tell it directly."""
        reports = self.fresh(now).values()
        return _added([self.own(), *(report.loads for report in reports)])

    def total(self, now):
        """Return all VMs' loads by instance id."""
        sums = (report.loads for report in self._fresh_sums(now))
        return _added([self.direct_total(now), *sums])
