"""Tracks what all entry VMs together have in flight at each instance.

Needed because a VM sees only an eighth or a ninth of the requests itself, so its own
counts say little about how busy an engine is. Each VM therefore sends its counts to its
peers several times a second.
"""

import collections
import math

import attrs

from .load_sum import Load, LoadSum, combined

#: Report intervals of a peer after which its counts are stale: three datagrams lost in
#: a row are rare.
LOAD_EXPIRY_INTERVALS = 4
#: Report intervals without a message after which a peer counts as unreachable.
UNREACHABLE_INTERVALS = 6
#: Seconds between two messages of a peer that doesn't state its interval.
DEFAULT_INTERVAL_SECONDS = 0.2
#: Seconds before a report becomes stale from which on each call checks it anew, well
#: above the rounding of a moment.
EXPIRY_MARGIN_SECONDS = 0.001

#: Minimum number of peers whose requests failed at an instance for this VM to avoid it
#: as well; a single peer may have trouble of its own.
MIN_SUSPECTING_PEERS = 2


@attrs.define(frozen=True)
class PeerReport:
    """Loads by instance id as a peer sent them.

    ``received_at`` is when they arrived (monotonic seconds), ``interval`` the seconds
    until the peer's next message. ``leaving`` is True for a VM that is about to leave,
    ``cordoned`` are the instances that it gives no new work for now, ``suspects`` those
    that it avoids because its own requests failed there or were refused with a pause.
    ``lost_services`` are those to whose instances it has no link. The sum of a data
    centre names the VMs without links to some service in ``vms_without_links`` instead.
    """

    sequence: int
    received_at: float
    loads: dict
    leaving: bool = False
    cordoned: frozenset = frozenset()
    interval: float = DEFAULT_INTERVAL_SECONDS
    suspects: frozenset = frozenset()
    lost_services: frozenset = frozenset()
    vms_without_links: frozenset = frozenset()

    def is_fresh(self, now):
        """Return whether the counts are recent enough to be used."""
        return now - self.received_at <= LOAD_EXPIRY_INTERVALS * self.interval

    @property
    def checked_from(self):
        """When the report may become stale, or little before."""
        seconds = LOAD_EXPIRY_INTERVALS * self.interval
        return self.received_at + seconds - EXPIRY_MARGIN_SECONDS

    @property
    def unreachable_at(self):
        """When the peer counts as unreachable unless another message arrives."""
        return self.received_at + UNREACHABLE_INTERVALS * self.interval

    def is_reachable(self, now):
        """Return whether the peer counts as reachable."""
        return now <= self.unreachable_at

    def replaces(self, known):
        """Return whether this report is a later one of a peer than ``known``.

        The sequence of a peer that has restarted may begin lower, as its clock may have
        been set back. Datagrams overtake each other by less than the time for which
        such a peer was silent.

        :param known: the last :class:`PeerReport` that counted, None for none.
        """
        if known is None or self.sequence > known.sequence:
            return True
        return not known.is_reachable(self.received_at)


@attrs.define(eq=False)
class InFlightSend:
    """One send counted in a :class:`LoadTracker` until it ends.

    ``tokens`` is the work still to be prefilled, 0 once the prompt is prefilled.
    """

    tracker: object
    instance_id: str
    tokens: int
    urgency: int = 0

    def mark_prefilled(self):
        """Record that the prompt is prefilled; the running request still counts."""
        self.tokens = 0

    def end(self):
        """Stop counting the send, which has ended."""
        self.tracker.remove(self)


def _load_of(sends):
    """Return the :class:`Load` of this VM's sends to one instance."""
    prefill = [0] * (1 + max(send.urgency for send in sends))
    for send in sends:
        prefill[send.urgency] += send.tokens
    return Load(len(sends), tuple(prefill), max(send.tokens for send in sends))


def _added(loads_by_source):
    """Return the sum of several loads by instance id."""
    by_instance = {}
    for loads in loads_by_source:
        for instance_id, load in loads.items():
            by_instance.setdefault(instance_id, []).append(load)
    return {i: combined(loads) for i, loads in by_instance.items()}


class LoadTracker:
    """This VM's own loads and those that its peers reported.

    ``reports`` maps the names of peers to their :class:`PeerReport`, ``sums`` the names
    of other data centres to the sum of theirs; a peer is in one of the two only.
    """

    def __init__(self):
        self.sends = {}
        self.cordoned_until = {}
        self.reports = {}
        self.sums = {}
        self.sums_by_reporter = {}
        # What is recent enough to be used, as found at ``checked_at``; it stays so
        # until ``check_at``, and a report that arrives is added.
        self.fresh, self.fresh_sums = {}, {}
        self.peer_loads = LoadSum()
        self.checked_at, self.check_at = math.inf, -math.inf

    def _check_fresh(self, now):
        """Find out which reports are recent enough to be used at ``now``."""
        if self.checked_at <= now < self.check_at:
            return
        for reports, fresh in (
            (self.reports, self.fresh),
            (self.sums, self.fresh_sums),
        ):
            fresh.clear()
            for source, report in reports.items():
                if report.is_fresh(now):
                    fresh[source] = report
                else:
                    self.peer_loads.replace((reports is self.sums, source), {})
        self.checked_at, self.check_at = now, math.inf
        for fresh in (self.fresh, self.fresh_sums):
            for source, report in fresh.items():
                self._use(fresh is self.fresh_sums, source, report)

    def _use(self, is_sum, source, report):
        """Use the loads of a fresh report, until it becomes stale."""
        key = is_sum, source
        if self.peer_loads.sources.get(key) is not report.loads:
            self.peer_loads.replace(key, report.loads)
        self.check_at = min(self.check_at, report.checked_from)

    def cordon(self, instance_id, until):
        """Cordon an instance that changes its stage.

        Until then it gets no new work, neither from this VM nor from the peers that
        receive its reports.

        :param until: monotonic seconds.
        """
        self.cordoned_until[instance_id] = until

    def own_cordoned(self, now):
        """Return the instances that this VM has cordoned."""
        self.cordoned_until = {i: t for i, t in self.cordoned_until.items() if t > now}
        return set(self.cordoned_until)

    def cordoned(self, now):
        """Return the instances that any VM has cordoned."""
        cordoned = self.direct_cordoned(now)
        for report in self._fresh_sums(now):
            cordoned |= report.cordoned
        return cordoned

    def direct_cordoned(self, now):
        """Return the instances cordoned by this VM or by a direct peer.

        A direct peer sends its reports to this VM itself, not in a sum.
        Only these are passed on in a sum: those received in another sum would be sent
        back and forth between data centres for ever.
        """
        cordoned = self.own_cordoned(now)
        for report in self.fresh_reports(now).values():
            cordoned |= report.cordoned
        return cordoned

    def begin(self, instance_id, tokens, urgency=0):
        """Count a send and return its :class:`InFlightSend`.

        :param tokens: work of its prompt that has to be prefilled, in tokens without
            context.
        """
        send = InFlightSend(self, instance_id, tokens, urgency)
        self.sends.setdefault(instance_id, set()).add(send)
        return send

    def remove(self, send):
        """Stop counting a send; idempotent."""
        sends = self.sends.get(send.instance_id, set())
        sends.discard(send)
        if not sends:
            self.sends.pop(send.instance_id, None)

    def forget(self, instance_id):
        """Drop a terminated incarnation with its work and its cordon."""
        self.sends.pop(instance_id, None)
        self.cordoned_until.pop(instance_id, None)

    def own(self):
        """Return this VM's own loads by instance id."""
        return {i: _load_of(sends) for i, sends in self.sends.items()}

    def receive(self, peer, report):
        """Store a peer's report unless a newer one was received."""
        if report.replaces(self.reports.get(peer)):
            self.reports[peer] = self.fresh[peer] = report
            self._use(False, peer, report)

    def fresh_reports(self, now):
        """Return the reports of peers that are recent enough to be used, by name.

        The caller must not change them.
        """
        self._check_fresh(now)
        return self.fresh

    def suspected_by_peers(self, now):
        """Return the instances that several peers avoid.

        Needed in large fleets when engines crash or ask for pauses: if each VM had to
        find out by itself, each would lose a request or two at each of them, more than
        its share of the retry budget covers.
        """
        counts = collections.Counter()
        for report in self.fresh_reports(now).values():
            counts.update(report.suspects)
        return {name for name, count in counts.items() if count >= MIN_SUSPECTING_PEERS}

    def lost_services(self, now):
        """Return the services to which each direct peer has no links, by its name."""
        return {
            name: report.lost_services
            for name, report in self.fresh_reports(now).items()
            if report.lost_services
        }

    def remote_vms_without_links(self, now):
        """Return the VMs of other data centres without links to some service."""
        reports = self._fresh_sums(now)
        return frozenset().union(*(report.vms_without_links for report in reports))

    def receive_sum(self, data_centre, reporter, report):
        """Store the sum of a data centre; return False if it was received before.

        Several VMs report for each data centre, and each report arrives on several
        paths. Their views are nearly the same, so the last one to arrive counts.
        """
        if not report.replaces(self.sums_by_reporter.get(reporter)):
            return False
        self.sums_by_reporter[reporter] = report
        self.sums[data_centre] = self.fresh_sums[data_centre] = report
        self._use(True, data_centre, report)
        return True

    def _fresh_sums(self, now):
        self._check_fresh(now)
        return list(self.fresh_sums.values())

    def report_delay(self, now):
        """Return the seconds for which sends of other VMs may not have been reported.

        A send of a direct peer is reported within the peer's interval, one of another
        data centre within both intervals.
        """
        direct = (report.interval for report in self.fresh_reports(now).values())
        sums = (report.interval for report in self._fresh_sums(now))
        return max(direct, default=0.0) + max(sums, default=0.0)

    def direct_total(self, now):
        """Return the loads of this VM and of the peers that report to it directly."""
        reports = self.fresh_reports(now).values()
        return _added([self.own(), *(report.loads for report in reports)])

    def total(self, now):
        """Return all VMs' loads by instance id."""
        self._check_fresh(now)
        totals = dict(self.peer_loads.total())
        for instance_id, load in self.own().items():
            peers = totals.get(instance_id)
            totals[instance_id] = combined([load, peers]) if peers else load
        return totals
