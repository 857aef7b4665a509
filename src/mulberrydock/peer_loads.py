"""What the entry VMs together have in flight at each instance.

Each VM sends its own counts to its peers several times a second; a VM sees
only an eighth or a ninth of the requests itself, so its own counts alone say
little about how busy an engine is.
"""

import attrs

#: Intervals of a peer's messages after which its counts say nothing about the
#: present: three lost datagrams in a row are rare.
LOAD_EXPIRY_INTERVALS = 4
#: Intervals without a message after which a peer is taken to be unreachable.
SILENT_INTERVALS = 6
#: Seconds between two messages of a peer that doesn't say.
DEFAULT_INTERVAL_SECONDS = 0.2


@attrs.define(frozen=True)
class Load:
    """Unfinished work: requests, and prompt tokens not yet prefilled."""

    running: int = 0
    prefill_tokens: int = 0


@attrs.define(frozen=True)
class PeerReport:
    """Loads by instance id as a peer sent them, and when they arrived.

    ``interval`` is the seconds until its next message.
    """

    sequence: int
    received_at: float
    loads: dict
    leaving: bool = False
    held: frozenset = frozenset()
    interval: float = DEFAULT_INTERVAL_SECONDS

    def fresh(self, now):
        """True while the counts say something about the present."""
        return now - self.received_at <= LOAD_EXPIRY_INTERVALS * self.interval

    def heard(self, now):
        """True while the peer is taken to be reachable."""
        return now - self.received_at <= SILENT_INTERVALS * self.interval


@attrs.define(eq=False)
class Work:
    """One send counted in a :class:`LoadBook` until it ends."""

    book: object
    instance_id: str
    tokens: int

    def prefilled(self):
        """The prompt is read: only the running request still counts."""
        self.book.add(self.instance_id, 0, -self.tokens)
        self.tokens = 0

    def end(self):
        """The send is over."""
        self.book.add(self.instance_id, -1, -self.tokens)


class LoadBook:
    """This VM's own loads and those its peers reported."""

    def __init__(self):
        self.own = {}
        self.held_until = {}
        self.reports = {}

    def hold(self, instance_id, until):
        """Give an instance under change no new work until then, here and at
        the peers that hear of it."""
        self.held_until[instance_id] = until

    def own_held(self, now):
        """Return the instances that this VM holds."""
        self.held_until = {i: t for i, t in self.held_until.items() if t > now}
        return set(self.held_until)

    def held(self, now):
        """Return the instances that get no new work, by any VM's word."""
        held = self.own_held(now)
        for report in self.fresh(now).values():
            held |= report.held
        return held

    def begin(self, instance_id, prefill_tokens):
        """Count a send of ``prefill_tokens`` in; return its :class:`Work`."""
        self.add(instance_id, 1, prefill_tokens)
        return Work(self, instance_id, prefill_tokens)

    def add(self, instance_id, running=0, prefill_tokens=0):
        """Count work in (positive) or out (negative) at an instance."""
        load = self.own.get(instance_id, Load())
        load = Load(load.running + running, load.prefill_tokens + prefill_tokens)
        if load.running <= 0 and load.prefill_tokens <= 0:
            self.own.pop(instance_id, None)
        else:
            self.own[instance_id] = load

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

    def total(self, now):
        """Return all VMs' loads by instance id."""
        running, tokens = {}, {}
        books = [report.loads for report in self.fresh(now).values()]
        for loads in [self.own, *books]:
            for instance_id, load in loads.items():
                running[instance_id] = running.get(instance_id, 0) + load.running
                tokens[instance_id] = tokens.get(instance_id, 0) + load.prefill_tokens
        return {i: Load(running[i], tokens[i]) for i in running}
