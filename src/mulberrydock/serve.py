"""The daemon of one entry VM on the users' platform.

One process answers clients, tells them which VMs to use, and follows the
configuration, the instances and its peers through the platform's store.
"""

import asyncio
import os
import signal
import time

import attrs
import tornado.httpserver
from loguru import logger

from . import defaults, platform
from ._http import split_address
from .clock import boot_seconds
from .directory import Directory
from .exceptions import SettingsError
from .fleet_view import FleetView
from .front import Front
from .instance_feed import InstanceFeed
from .lease import LeaderLease
from .membership import Membership
from .metrics import ServeMetrics
from .pages import make_pages
from .peer_groups import PeerGroups
from .peers import PeerLink
from .quarantine_sync import QuarantineSync
from .rate_limits import RateLimits
from .relay import Relay
from .rendezvous import rank
from .serve_settings import load_serve_settings
from .stage_controller import StageController
from .watch import PROBE_SECONDS, PrefixWatch

#: Seconds within which a watch that went silent must be noticed before the
#: users' contact time is over: from then on this VM answers for what it knows.
#: The next read takes some 10 ms; the rest covers a busy VM.
WATCH_MARGIN_SECONDS = 0.3
#: Share of the time in which a configuration must be in force that passes between
#: an answer with changes and the next poll. When VMs start or leave in turn, each of
#: them wakes all others: what changes within the pause comes in one answer, and each
#: answer is a call that is paid for. The other three quarters cover a lost call and
#: a busy VM.
WATCH_PAUSE_SHARE = 0.25
#: Seconds of this VM's registration in the store. Its peers notice its death by its
#: silence, much sooner; the record only matters to VMs that hear nobody.
MEMBER_LEASE_SECONDS = 9.0
#: Candidates for a vacant duty that take turns; if all of them fail, being cut off
#: from the store perhaps, the others try at once. An attempt takes four calls, so a
#: fleet of 195 VMs that all try makes 780.
DUTY_TURNS = 4
#: Seconds beyond the pause of the watch until a VM's taking of the duty is known
#: to the next in turn: four calls to the store and a busy VM.
DUTY_TURN_MARGIN_SECONDS = 0.3
#: Share of the grace period in which a stopping VM still takes requests (3.2 s
#: of the users' 8): a request taken later could be cut when the grace ends.
ACCEPT_SHARE = 0.4
#: Seconds for which late requests are refused at least before the end.
REFUSE_SECONDS = 0.5
#: Share of the grace period that requests in progress may use in all.
FINISH_SHARE = 0.94
#: Seconds after which an idle client connection is closed; far above the
#: configured limit, so that no client's request crosses the close.
CLIENT_IDLE_SECONDS = 120
#: Seconds between two looks at the settings file and at lapsed records.
SWEEP_SECONDS = 0.25


@attrs.define(frozen=True)
class EntryVm:
    """This VM as it registers itself; ``address`` is its front's."""

    name: str
    address: str
    data_centre: str


class ServeDaemon:
    """State of one entry VM's process. Build it with :meth:`from_settings`."""

    def __init__(self, settings, store, wire, log_sink):
        self.settings = settings
        self.store = store
        store.on_answer = self._on_store_answer
        store.on_era_change = self._on_store_era
        self.log_sink = log_sink
        self.metrics = ServeMetrics()
        self.draining = False
        self.store_answers = None
        self.stop = asyncio.Event()
        self.leader_known = False
        peer_port = settings.listen.peer_ports[0]
        self.membership = Membership(
            store,
            EntryVm(settings.name, settings.listen.front, settings.data_centre),
            max(MEMBER_LEASE_SECONDS, settings.store.least_lease_seconds),
            f"{settings.ip}:{peer_port}",
        )
        self.fleet = FleetView(
            settings.data_centre,
            settings.timing,
            self.membership.count_vms,
            self._on_gone,
            RateLimits(
                settings.name,
                lambda now: self.groups.senders(now),
                lambda instance_id: self.fleet.instances.named(instance_id) is not None,
            ),
        )
        self.instance_feed = InstanceFeed(self.fleet.instances)
        self.relay = Relay(self.fleet, wire, self.metrics)
        self.front = Front(self.relay, wire, time.monotonic)
        self.groups = PeerGroups(
            self.membership, self.fleet.loads, settings.data_centre
        )
        self.directory = Directory(self.groups, settings.listen.front)
        self.lease = LeaderLease(
            store,
            settings.name,
            settings.timing.lease_seconds,
            lambda: self.store_answers and not self.leader_known and not self.draining,
            boot_seconds,
            self._duty_turn,
        )
        self.duty = StageController(
            self.fleet,
            self.relay,
            wire,
            self.lease,
            settings.name,
            settings.timing.lease_seconds,
        )
        self.quarantine = QuarantineSync(
            self.fleet.quarantine,
            store,
            settings.name,
            lambda: self.lease.valid(boot_seconds()),
        )
        self.watch = self._watch()
        self.handlers = {
            platform.CONFIG_PREFIX: self._on_config,
            platform.INSTANCE_PREFIX: self._on_instance,
            defaults.ENTRY_PREFIX: self.membership.apply,
            defaults.LEADER_KEY: self._on_leader,
            defaults.CRASH_PREFIX: self.quarantine.apply,
        }
        self.peers = PeerLink(
            settings.name,
            self.fleet.loads,
            self.groups,
            self._leaving,
            self.fleet.estimates,
            self.fleet.suspicion.suspects,
            self.fleet.quarantine,
            self.fleet.limits,
        )

    @classmethod
    def from_settings(cls, settings, log_sink):
        """Build the daemon over the platform's store and wire."""
        store = platform.PlatformStore(settings.store.address)
        return cls(settings, store, platform.PlatformWire(), log_sink)

    @property
    def ready(self):
        """True when clients may be sent here."""
        return not self.draining and self.fleet.routes.config is not None

    def _duty_turn(self):
        """Return the seconds for which a vacant duty is left to other VMs."""
        turn = min(self.directory.turn(time.monotonic()), DUTY_TURNS)
        return turn * (self.watch_pause() + DUTY_TURN_MARGIN_SECONDS)

    def _leaving(self):
        return self.draining

    def _on_gone(self, instance_id):
        self.relay.forget(instance_id)
        self.fleet.forget(instance_id)
        self.fleet.quarantine.record_termination(instance_id, time.monotonic())

    def _on_config(self, key, value, revision):
        if value is None:
            return
        try:
            config = platform.read_config(key, value)
        except SettingsError as error:
            logger.error("configuration refused", revision=revision, error=str(error))
            return
        if config is None or not self.fleet.routes.accept(config):
            return
        self.metrics.config_version.set(config.version)
        logger.info(
            "configuration in force",
            version=config.version,
            revision=revision,
            routes=len(config.routes),
        )

    def _on_instance(self, key, value, revision):
        self.instance_feed.apply(key, value, revision, time.monotonic())

    def _on_store_answer(self, answered):
        # Every call counts, not only those of the watch: an outage may be over
        # before a poll that waits through it is due, and the records that lapsed
        # in it would pass for instances that left.
        now = time.monotonic()
        if answered:
            self.fleet.instances.mark_store_available(now)
        else:
            self.fleet.instances.mark_store_unavailable(now)
        if answered != self.store_answers:
            event = "store answers" if answered else "store lost"
            logger.warning(event, address=self.settings.store.address)
        self.store_answers = answered

    def _on_store_era(self):
        """The store came back from a copy some seconds old.

        Leases are gone, and their ids and the revisions are given out again. What the
        operator and the instances wrote they write again; the rest is ours to repair.
        """
        logger.warning("store restored from an older copy", era=self.store.era)
        self.fleet.instances.handle_store_restored(time.monotonic())
        self.fleet.quarantine.handle_store_restored()
        self.membership.forget_lease()
        self.lease.forget()
        self.watch.invalidate()

    def _on_leader(self, key, value, revision):
        self.leader_known = value is not None

    def _on_item(self, key, value, revision):
        for prefix, handler in self.handlers.items():
            if key.startswith(prefix):
                handler(key, value, revision)

    def _on_reset(self):
        self.fleet.instances.begin_reload()
        self.leader_known = False
        self.membership.begin_reload()
        self.fleet.quarantine.begin_reload()

    def _on_loaded(self):
        now = time.monotonic()
        spread = rank("crashes", self.settings.name)[0] / 256
        self.fleet.quarantine.finish_reload(spread, now)
        self.fleet.instances.finish_reload(now)
        self.membership.finish_reload()

    def watch_pause(self):
        """Return the seconds between an answer with changes and the next poll."""
        return self.settings.timing.config_apply_seconds * WATCH_PAUSE_SHARE

    def _watch(self):
        # One watch for all keys: a watch counts as a call each time it is
        # answered, and this process needs every prefix. It waits for as long
        # as a lost one may stay unnoticed.
        silent = self.settings.timing.contact_seconds - WATCH_MARGIN_SECONDS
        return PrefixWatch(
            self.store,
            "",
            self._on_item,
            self._on_reset,
            self._on_loaded,
            max(PROBE_SECONDS, silent - self.store.timeout),
            self.watch_pause(),
        )

    async def _sweep(self):
        while True:
            self.fleet.instances.sweep(time.monotonic())
            await asyncio.sleep(SWEEP_SECONDS)

    def _listen(self):
        listen = self.settings.listen
        self.front_server = tornado.httpserver.HTTPServer(
            self.front, idle_connection_timeout=CLIENT_IDLE_SECONDS
        )
        host, port = split_address(listen.front)
        self.front_server.listen(port, address=host)
        pages = make_pages(self)
        server = tornado.httpserver.HTTPServer(pages)
        for address in {listen.ready, listen.directory}:
            host, port = split_address(address)
            server.listen(port, address=host)
        if listen.metrics_port:
            server.listen(listen.metrics_port, address=self.settings.ip)

    async def run(self):
        """Serve until SIGTERM or SIGINT, then drain and return."""
        loop = asyncio.get_running_loop()
        for signum in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signum, self.stop.set)
        loop.add_signal_handler(signal.SIGHUP, self._on_hangup)
        self._listen()
        await self.peers.open(self.settings.ip, self.settings.listen.peer_ports[0])
        tasks = [
            asyncio.ensure_future(self.watch.run()),
            asyncio.ensure_future(self.lease.run()),
            asyncio.ensure_future(self.duty.run()),
            asyncio.ensure_future(self.membership.keep_alive()),
            asyncio.ensure_future(self.peers.run()),
            asyncio.ensure_future(self.quarantine.run()),
            asyncio.ensure_future(self._sweep()),
        ]
        for task in tasks:
            task.add_done_callback(self._on_task_end)
        logger.info("started", name=self.settings.name, pid=os.getpid())
        await self.stop.wait()
        await self.drain()
        for task in tasks:
            task.cancel()
        logger.info("stopped")

    def _on_task_end(self, task):
        if task.cancelled():
            return
        # A follower that ended leaves this VM with a view that only ages:
        # ending the process lets the platform start it afresh.
        logger.error("task ended", error=repr(task.exception()))
        self.stop.set()

    def _on_hangup(self):
        """Read the settings again and log what changed; addresses need a restart."""
        try:
            settings = load_serve_settings(os.environ[platform.SETTINGS_VARIABLE])
        except (SettingsError, OSError, KeyError) as error:
            logger.error("reload refused", error=str(error))
            return
        self.settings.timing = settings.timing
        self.fleet.timing = settings.timing
        logger.info("reloaded")

    async def _leave(self):
        await self.membership.mark_leaving()
        await self.lease.release()

    async def drain(self):
        """Leave: clients move away, requests in progress end, then return.

        Clients keep an old list of addresses for a while, so requests are
        taken at first, on new connections too; later ones are refused.
        """
        grace = self.settings.timing.grace_seconds
        started = time.monotonic()
        self.draining = True
        self.front.draining = True
        logger.info("draining", in_flight=len(self.front.tasks))
        self.peers.send()
        leaving = asyncio.ensure_future(self._leave())
        await asyncio.sleep(grace * ACCEPT_SHARE)
        self.front.refusing = True
        self.front_server.stop()
        logger.info("refusing new requests", in_flight=len(self.front.tasks))
        # One more look after the last request: kept connections may bring
        # some, which must get their refusal before the process ends.
        await asyncio.sleep(REFUSE_SECONDS)
        left = started + grace * FINISH_SHARE - time.monotonic()
        if self.front.tasks and left > 0:
            await asyncio.wait(set(self.front.tasks), timeout=left)
        leaving.cancel()
        # What the last requests showed must outlast this process.
        await self.quarantine.step(time.monotonic(), time.time())
        logger.info("drained", in_flight=len(self.front.tasks))
