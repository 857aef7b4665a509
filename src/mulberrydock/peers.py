"""Datagrams between entry VMs: liveness, leaving VMs, loads and estimates."""

import asyncio
import functools
import socket
import time

from loguru import logger

from . import peer_messages
from ._http import split_address
from .clock import boot_seconds
from .peer_loads import PeerReport
from .peer_messages import (
    CrashReport,
    LimitUpdate,
    OriginMessage,
    PeerUpdate,
    SoundWork,
    UsageMessage,
)
from .rate_limits import UPDATE_REPEAT_SECONDS
from .rendezvous import rank

#: Seconds between two messages to each peer. A prefill takes 20 to 150 ms, so counts
#: that are 200 ms old still tell a busy engine from an idle one; half the interval
#: would double the traffic between data centres, which is paid for.
SEND_INTERVAL_SECONDS = 0.2
#: Seconds until an early message, so that one holds all that a crash interrupts.
EARLY_SEND_SECONDS = 0.02
#: Maximum number of direct peers at which a VM sends that often. With more, it sends
#: less often, which bounds the messages that each VM sends and receives per second:
#: with 40, as in a data centre of a fleet of 200, the interval is half a second, and
#: decoding the messages takes 1% of a core.
PEERS_AT_FULL_RATE = 16
#: One message in this many carries the pool estimates, which change over seconds, and
#: all rate limits instead of only the recent changes.
MESSAGES_PER_POOL_REPORT = 5
#: Seconds between two sums that a reporter sends to the other data centres. The loads
#: known there may be as old as this and one message interval within the data centre.
SUM_INTERVAL_SECONDS = 0.4
#: A reporter relays a data centre's sum when the last one was relayed, by itself or
#: another reporter, this share of the sum interval ago or more, times one plus its
#: rank. So one reporter relays, and the next takes over when it falls silent.
RELAY_DELAY_SHARE = 0.75


class PeerLink(asyncio.DatagramProtocol):
    """The exchange of loads, estimates, crashes, limits and leaves with the peers.

    :param name: this VM's name.
    :param tracker: the :class:`~mulberrydock.peer_loads.LoadTracker` whose loads
        are sent and to which received ones are added; likewise ``estimates``,
        ``quarantine`` and ``limits``.
    :param groups: the :class:`~mulberrydock.peer_groups.PeerGroups`, which choose the
        receivers.
    :param leaving: returns True once this VM drains.
    :param estimates: the :class:`~mulberrydock.estimates.FleetEstimates`, None to send
        no estimates and no crashes.
    :param suspects: returns the ids of the instances that this VM avoids at a time.
    :param quarantine: the :class:`~mulberrydock.quarantine.Quarantine`, None to send
        no crashes.
    :param limits: the :class:`~mulberrydock.rate_limits.RateLimits`, None to send no
        rate limits.
    :param usage: the :class:`~mulberrydock.usage.UsageLedger` to which received counts
        are added, None to ignore them.
    :param instances: the :class:`~mulberrydock.instances.InstanceRegistry`, None to
        exchange no leaves of instances.

    An owner may set ``origins``, an
    :class:`~mulberrydock.origin_exchange.OriginExchange`, without which messages about
    streams are ignored, and ``freshness``, a
    :class:`~mulberrydock.store_freshness.StoreFreshness`, without which VMs say nothing
    of the store, and ``on_unsent``, called for each message that can't be encoded.
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
        usage=None,
        instances=None,
    ):
        self.name = name
        self.tracker = tracker
        self.estimates = estimates
        self.groups = groups
        self.leaving = leaving
        self.suspects = suspects
        self.quarantine = quarantine
        self.limits = limits
        self.usage = usage
        self.instances = instances
        self.origins = None
        self.freshness = None
        self.on_unsent = lambda: None
        # Larger after most restarts, so that peers accept the new sequence at once.
        self.sequence = int(time.time() * 1000)
        self.message_count = 0
        self.sum_count = 0
        # This VM's rank among the reporters of its data centre, None if it isn't one.
        self.reporter_rank = None
        # Prefills in this data centre that have not been sent to the others yet.
        self.local_prefills = {}
        self.relayed_at = {}
        self.transport = None
        self.early_send = None

    async def open(self, ip, port):
        """Bind the socket to ``ip:port``.

        :raises OSError: when the port is in use.
        """
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.bind((ip, port))
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, sock=sock)

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, addr):
        now = time.monotonic()
        try:
            update = peer_messages.decode(data, now)
        except Exception as error:  # capnp raises undocumented types
            logger.warning("peer message refused", source=addr[0], error=repr(error))
            return
        if isinstance(update, OriginMessage):
            if self.origins is not None:
                reply = functools.partial(self._reply, addr)
                self.origins.receive(update, reply, now)
            return
        if isinstance(update, UsageMessage):
            if self.usage is not None:
                self.usage.receive(update.name, update.update)
            return
        self._apply_limits(update.limits, now)
        self._apply_leaves(update, now)
        if not update.data_centre:
            self.tracker.receive(update.name, update.report)
            self._apply_estimates(update.name, update, now)
            self._record_prefills(update.prefills)
            self._apply_crashes(update, now)
            self._apply_store_report(update)
        elif update.data_centre != self.groups.data_centre:
            self._apply_sum(update, data, addr, now)

    def _apply_sum(self, update, data, addr, now):
        """Apply another data centre's sum, and relay it if this VM is to do so."""
        if self.groups.is_direct(addr):
            # A reporter of this data centre has relayed it.
            self.relayed_at[update.data_centre] = now
        if not self.tracker.receive_sum(update.data_centre, update.name, update.report):
            return
        self._apply_estimates(f"data centre {update.data_centre}", update, now)
        if self._should_relay(update.data_centre, now):
            self.relayed_at[update.data_centre] = now
            self.send_to(self.groups.direct_peers().values(), data)

    def _should_relay(self, data_centre, now):
        """Return whether this VM is to relay a data centre's sum."""
        if self.reporter_rank is None:
            return False
        last = self.relayed_at.get(data_centre, 0.0)
        return now - last >= SUM_INTERVAL_SECONDS * RELAY_DELAY_SHARE * (
            1 + self.reporter_rank
        )

    def _apply_estimates(self, source, update, now):
        if self.estimates is None:
            return
        for instance, rows in update.prefills.items():
            self.estimates.apply_prefills(instance, rows)
        self.estimates.apply_pool_updates(source, update.pools, now)
        self.estimates.apply_samples(update.samples, now)

    def _apply_crashes(self, update, now):
        if self.quarantine is None:
            return
        for report in update.crashes:
            jitter = rank(report.crash.work, self.name)[0] / 256
            self.quarantine.apply_peer_crash(report.crash, jitter, now, report.age)
        for sound in update.sound_works:
            self.quarantine.apply_peer_sound(sound.work, now - sound.age, now)

    def _apply_store_report(self, update):
        if self.freshness is not None:
            self.freshness.receive(
                update.name,
                update.store,
                update.report.interval,
                boot_seconds(),
            )

    def _store_report(self):
        if self.freshness is None:
            return None
        return self.freshness.report(boot_seconds())

    def _apply_limits(self, limits, now):
        if self.limits is None:
            return
        for limit in limits:
            self.limits.apply_update(limit.instance, limit.rate, now - limit.age, now)

    def _apply_leaves(self, update, now):
        if self.instances is None:
            return
        for incarnation in update.leaving_instances:
            self.instances.mark_leaving(incarnation, update.name, now)
        for incarnation in update.removed_instances:
            self.instances.mark_removal_reported(incarnation, update.name, now)

    def _leave_updates(self, now, number):
        """Return the leaving instances for the message with that number."""
        if self.instances is None:
            return []
        everything = number % MESSAGES_PER_POOL_REPORT == 0
        return self.instances.leave_updates(UPDATE_REPEAT_SECONDS, everything, now)

    def _removal_updates(self, now):
        """Return the instances whose record this VM has seen removed of late."""
        if self.instances is None:
            return []
        return self.instances.removal_updates(UPDATE_REPEAT_SECONDS, now)

    def _limit_updates(self, now, number):
        """Return the rate limits for the message with that number."""
        if self.limits is None:
            return []
        everything = number % MESSAGES_PER_POOL_REPORT == 0
        return [
            LimitUpdate(limit.instance, limit.rate, now - limit.observed_at)
            for limit in self.limits.updates(now, everything)
        ]

    def _record_prefills(self, prefills):
        if self.reporter_rank is None:
            return
        for instance, rows in prefills.items():
            self.local_prefills.setdefault(instance, []).extend(rows)

    def error_received(self, exc):
        logger.debug("peer send failed", error=repr(exc))

    def interval(self):
        """Return the number of seconds between two messages to each direct peer."""
        return SEND_INTERVAL_SECONDS * max(
            1.0, len(self.groups.direct_peers()) / PEERS_AT_FULL_RATE
        )

    def _report(self, now, loads, cordoned, interval, **fields):
        self.sequence += 1
        return PeerReport(
            self.sequence,
            now,
            loads,
            self.leaving(),
            frozenset(cordoned),
            interval,
            **{name: frozenset(values) for name, values in fields.items()},
        )

    def message(self, now):
        """Return this VM's message at ``now`` as the bytes of a datagram."""
        cordoned = self.tracker.own_cordoned(now)
        report = self._report(
            now,
            self.tracker.own(),
            cordoned,
            self.interval(),
            suspects=self.suspects(now),
            lost_services=self.groups.lost_services(),
        )
        self.message_count += 1
        limits = self._limit_updates(now, self.message_count)
        leaves = self._leave_updates(now, self.message_count)
        if self.estimates is None:
            update = PeerUpdate(
                self.name,
                report,
                limits=limits,
                leaving_instances=leaves,
                store=self._store_report(),
                removed_instances=self._removal_updates(now),
            )
            return peer_messages.encode(update)
        prefills = self.estimates.cache.take_updates()
        self._record_prefills(prefills)
        with_pools = self.message_count % MESSAGES_PER_POOL_REPORT == 0
        pools = self.estimates.pool_updates(now) if with_pools else []
        samples = self.estimates.take_samples()
        crashes, sound_works = self._crash_updates(now)
        update = PeerUpdate(
            self.name,
            report,
            "",
            prefills,
            pools,
            samples,
            crashes,
            limits,
            leaves,
            sound_works,
            self._store_report(),
            self._removal_updates(now),
        )
        return peer_messages.encode(update)

    def _crash_updates(self, now):
        """Return the crashes and the sound works for the next message."""
        if self.quarantine is None:
            return [], []
        crashes = [
            CrashReport(crash, now - self.quarantine.crashed_at(crash))
            for crash in self.quarantine.take_updates(now)
        ]
        sound_works = self.quarantine.take_sound_reports(now)
        return crashes, [SoundWork(*row) for row in sound_works]

    def sum_message(self, now):
        """Return the sum of this VM's data centre at ``now`` as a datagram."""
        cordoned = self.tracker.direct_cordoned(now)
        report = self._report(
            now,
            self.tracker.direct_total(now),
            cordoned,
            SUM_INTERVAL_SECONDS,
            vms_without_links=self.groups.local_without_links(now),
        )
        prefills, self.local_prefills = self.local_prefills, {}
        pools = []
        if self.estimates is not None:
            pools = self.estimates.pool_updates(now, self.groups.direct_peers().keys())
        self.sum_count += 1
        update = PeerUpdate(
            self.name,
            report,
            self.groups.data_centre,
            prefills,
            pools,
            limits=self._limit_updates(now, self.sum_count),
            leaving_instances=self._leave_updates(now, self.sum_count),
            removed_instances=self._removal_updates(now),
        )
        return peer_messages.encode(update)

    def _reply(self, addr, data):
        self.transport.sendto(data, addr)

    def send_to(self, peers, data):
        """Send ``data`` to each of ``peers``."""
        for peer in peers:
            self.transport.sendto(data, split_address(peer.peer_address))

    def send(self):
        """Send one message to every direct peer."""
        peers = self.groups.direct_peers().values()
        self._send_encoded(peers, "message", self.message, time.monotonic())

    def _send_encoded(self, peers, kind, encode, now):
        """Send what ``encode`` returns; leave out a message that can't be encoded."""
        try:
            data = encode(now)
        except Exception as error:  # capnp raises undocumented types
            self.on_unsent()
            logger.error("peer message not sent", kind=kind, error=repr(error))
            return
        self.send_to(peers, data)

    def send_sum(self, now):
        """Send the data centre's sum to the others if this VM is a reporter."""
        self.reporter_rank = self.groups.reporter_rank(now)
        if self.reporter_rank is None:
            self.local_prefills.clear()
            return
        reporters = self.groups.remote_reporters()
        self._send_encoded(reporters, "sum", self.sum_message, now)

    def send_soon(self):
        """Send the next message early; further calls until then change nothing."""
        if self.early_send is None and self.transport is not None:
            loop = asyncio.get_running_loop()
            self.early_send = loop.call_later(EARLY_SEND_SECONDS, self._send_early)

    def _send_early(self):
        self.early_send = None
        self.send()

    async def _send_sums(self):
        while True:
            self.send_sum(time.monotonic())
            await asyncio.sleep(SUM_INTERVAL_SECONDS)

    async def _send_messages(self):
        while True:
            self.send()
            await asyncio.sleep(self.interval())

    async def run(self):
        """Send messages and sums until cancelled."""
        await asyncio.gather(self._send_messages(), self._send_sums())
