"""Datagrams between entry VMs: who is alive, who leaves, what is in flight."""

import asyncio
import socket
import time

from loguru import logger

from . import peer_messages
from ._http import split_address
from .peer_loads import PeerReport
from .peer_messages import LimitUpdate, PeerUpdate
from .rendezvous import rank

#: Seconds between two messages to each peer. A prefill takes 20 to 150 ms, so
#: a view of 200 ms still tells a busy engine from an idle one; half of it
#: doubles the traffic between data centres, which is priced.
SEND_INTERVAL_SECONDS = 0.2
#: Peers up to which a VM sends that often. With more of them to tell, it sends less
#: often, so that its messages a second stay bounded, and with them what each VM reads:
#: with 40, as in a data centre of a fleet of 200, half a second passes between two to
#: the same peer, and reading takes 1% of a core.
PEERS_AT_FULL_RATE = 16
#: Every how many messages what was learnt of the pools goes along: it changes
#: over seconds.
MESSAGES_A_POOL_REPORT = 5
#: Seconds between two sums that a reporter sends to the other data centres. What
#: they know of its engines is as old as this and a message within the data centre.
SUM_INTERVAL_SECONDS = 0.4
#: Share of that time that must have passed since a data centre's last sum was passed
#: on, here or by a reporter before this one; for each of those as much more. One
#: passes sums on, and the next takes its place when it falls silent.
RELAY_SHARE = 0.75


class PeerLink(asyncio.DatagramProtocol):
    """Sends this VM's loads to its peers and takes theirs.

    :param name: this VM's name.
    :param book: the :class:`~mulberrydock.peer_loads.LoadTracker` to send from
        and to feed.
    :param groups: the :class:`~mulberrydock.peer_groups.PeerGroups`: whom to tell.
    :param leaving: returns True once this VM drains.
    :param learned: the :class:`~mulberrydock.learned.FleetEstimates` to tell from and
        to feed, None to tell only loads.
    :param suspects: returns the instances that this VM passes over at a moment.
    :param quarantine: the :class:`~mulberrydock.quarantine.Quarantine` to tell from
        and to feed, None to tell of no crashes.
    :param limits: the :class:`~mulberrydock.rate_limits.RateLimits` to tell from and
        to feed, None to tell of none.
    """

    def __init__(
        self,
        name,
        tracker,
        groups,
        leaving,
        estimates=None,
        suspects=lambda now: frozenset(),
        quarantine=None,
        limits=None,
    ):
        self.name = name
        self.tracker = tracker
        self.estimates = estimates
        self.groups = groups
        self.leaving = leaving
        self.suspects = suspects
        self.quarantine = quarantine
        self.limits = limits
        # Larger after each restart, so that peers take the new count.
        self.sequence = int(time.time() * 1000)
        self.messages = 0
        self.sums = 0
        # This VM's place among the reporters of its data centre, None if it is none.
        self.place = None
        # Reads in this data centre that the others haven't been told yet.
        self.near_reads = {}
        self.relayed_at = {}
        self.transport = None

    async def open(self, ip, port):
        """Bind the socket at ``ip:port``."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.bind((ip, port))
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, sock=sock)

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, addr):
        now = time.monotonic()
        try:
            news = peer_messages.decode(data, now)
        except Exception as error:  # capnp raises its own unlisted types
            logger.warning("peer message refused", source=addr[0], error=repr(error))
            return
        self._hear_limits(news.limits, now)
        if not news.data_centre:
            self.tracker.receive(news.name, news.report)
            self._hear(news.name, news, now)
            self._note_reads(news.reads)
            self._hear_crashes(news.crashes, now)
        elif news.data_centre != self.groups.data_centre:
            self._hear_sum(news, data, addr, now)

    def _hear_sum(self, news, data, addr, now):
        """Take another data centre's sum; a reporter passes it on."""
        if self.groups.is_direct(addr):
            # A reporter of this data centre has passed it on.
            self.relayed_at[news.data_centre] = now
        if not self.tracker.receive_sum(news.data_centre, news.name, news.report):
            return
        self._hear(f"data centre {news.data_centre}", news, now)
        if self._relays(news.data_centre, now):
            self.relayed_at[news.data_centre] = now
            self._send_to(self.groups.direct().values(), data)

    def _relays(self, data_centre, now):
        """True when it is this VM's turn to pass a data centre's sum on."""
        if self.place is None:
            return False
        last = self.relayed_at.get(data_centre, 0.0)
        return now - last >= SUM_INTERVAL_SECONDS * RELAY_SHARE * (1 + self.place)

    def _hear(self, source, news, now):
        if self.estimates is None:
            return
        for instance, rows in news.reads.items():
            self.estimates.apply_prefills(instance, rows)
        self.estimates.apply_pool_updates(source, news.pools, now)
        self.estimates.apply_samples(news.samples, now)

    def _hear_crashes(self, crashes, now):
        if self.quarantine is None:
            return
        for crash in crashes:
            spread = rank(crash.work, self.name)[0] / 256
            self.quarantine.apply_peer_crash(crash, spread, now)

    def _hear_limits(self, limits, now):
        if self.limits is None:
            return
        for limit in limits:
            self.limits.apply_update(limit.instance, limit.rate, now - limit.age, now)

    def _limit_news(self, now, number):
        """Return the :class:`LimitUpdate` of the message of that number."""
        if self.limits is None:
            return []
        everything = number % MESSAGES_A_POOL_REPORT == 0
        return [
            LimitUpdate(limit.instance, limit.rate, now - limit.observed_at)
            for limit in self.limits.updates(now, everything)
        ]

    def _note_reads(self, reads):
        if self.place is None:
            return
        for instance, rows in reads.items():
            self.near_reads.setdefault(instance, []).extend(rows)

    def error_received(self, exc):
        logger.debug("peer send failed", error=repr(exc))

    def interval(self):
        """Return the seconds between two messages to each direct peer."""
        return SEND_INTERVAL_SECONDS * max(
            1.0, len(self.groups.direct()) / PEERS_AT_FULL_RATE
        )

    def _report(self, now, loads, held, interval, suspects=()):
        self.sequence += 1
        return PeerReport(
            self.sequence,
            now,
            loads,
            self.leaving(),
            frozenset(held),
            interval,
            frozenset(suspects),
        )

    def message(self, now):
        """Return this VM's message at ``now`` as bytes."""
        held = self.tracker.own_cordoned(now)
        report = self._report(
            now, self.tracker.own(), held, self.interval(), self.suspects(now)
        )
        self.messages += 1
        limits = self._limit_news(now, self.messages)
        if self.estimates is None:
            return peer_messages.encode(PeerUpdate(self.name, report, limits=limits))
        reads = self.estimates.cache.take_updates()
        self._note_reads(reads)
        tell_pools = self.messages % MESSAGES_A_POOL_REPORT == 0
        pools = self.estimates.pool_updates(now) if tell_pools else []
        samples = self.estimates.take_samples()
        crashes = self.quarantine.take_updates(now) if self.quarantine else []
        news = PeerUpdate(self.name, report, "", reads, pools, samples, crashes, limits)
        return peer_messages.encode(news)

    def sum_message(self, now):
        """Return the sum of this VM's data centre at ``now`` as bytes."""
        held = self.tracker.direct_cordoned(now)
        report = self._report(
            now, self.tracker.direct_total(now), held, SUM_INTERVAL_SECONDS
        )
        reads, self.near_reads = self.near_reads, {}
        pools = []
        if self.estimates is not None:
            pools = self.estimates.pool_updates(now, self.groups.direct().keys())
        self.sums += 1
        news = PeerUpdate(
            self.name,
            report,
            self.groups.data_centre,
            reads,
            pools,
            limits=self._limit_news(now, self.sums),
        )
        return peer_messages.encode(news)

    def _send_to(self, peers, data):
        for peer in peers:
            self.transport.sendto(data, split_address(peer.peer_address))

    def send(self):
        """Send one message to every direct peer."""
        data = self.message(time.monotonic())
        self._send_to(self.groups.direct().values(), data)

    def send_sum(self, now):
        """Send the data centre's sum to the others, if this VM reports it."""
        self.place = self.groups.reporter_place(now)
        if self.place is None:
            self.near_reads.clear()
            return
        self._send_to(self.groups.far_reporters(), self.sum_message(now))

    async def _report_sums(self):
        while True:
            self.send_sum(time.monotonic())
            await asyncio.sleep(SUM_INTERVAL_SECONDS)

    async def _tell(self):
        while True:
            self.send()
            await asyncio.sleep(self.interval())

    async def run(self):
        """Send for ever."""
        await asyncio.gather(self._tell(), self._report_sums())
