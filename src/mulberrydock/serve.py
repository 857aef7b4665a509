"""The daemon of one entry VM on the hosting platform.

One process serves client requests, tells clients which VMs to use, and follows
the configuration, the instances and its peers through the platform's store.
"""

import asyncio
import os
import secrets
import signal
import time

import attrs
from loguru import logger

from . import defaults, platform, records
from .clock import boot_seconds
from .directory import Directory
from .duties import Duties
from .exceptions import SettingsError
from .fleet_view import FleetView
from .forward_front import ForwardFront
from .forwarding import Forwarding
from .front import Front
from .handover import LeaderHandover
from .inbound import ConnectionLimits, InboundConnections
from .instance_feed import MAX_LOGGED_CHARACTERS, InstanceFeed
from .lease import LeaderLease
from .membership import Membership
from .metrics import ServeMetrics
from .origin_exchange import OriginExchange
from .origin_records import OriginRecords
from .peer_groups import PeerGroups
from .peers import PeerLink
from .quarantine_sync import QuarantineSync
from .rate_limits import RateLimits
from .relay import Relay
from .response_room import ResponseRoom
from .serve_settings import load_serve_settings
from .servers import Servers
from .stage_controller import StageController
from .stopping import Step, Stop, StopPlan
from .store_calls import call_purpose
from .store_changes import change_urgency
from .store_freshness import StoreFreshness
from .store_view import StoreView
from .usage import UsageLedger
from .version_records import VersionRecords
from .watch import PrefixWatch
from .watchdog import Watchdog

#: Pause between a response with changes and the next poll, as a share of the time
#: within which a configuration must be in force. When VMs start or leave one after the
#: other, each change completes the polls of all others; changes within the pause come
#: in one response, and each response is a call that is paid for. The other three
#: quarters cover a lost call and a busy VM.
WATCH_PAUSE_SHARE = 0.25
#: Lease of this VM's record in the store. Its peers detect a failure much sooner, as
#: its messages stop; the record only matters to VMs that receive no messages.
ENTRY_LEASE_SECONDS = 9.0
#: Number of VMs that try in turn to acquire a vacant leader lease. If all of them
#: fail, perhaps as they can't reach the store, the others try at the same time. An
#: attempt takes four calls, so a fleet of 195 VMs that all try makes 780.
MAX_TAKEOVER_RANK = 4
#: Seconds beyond the watch's pause until the next VM in turn has seen that the lease
#: was acquired: covers four calls to the store and a busy VM.
TAKEOVER_MARGIN_SECONDS = 0.3
#: Bytes of the key that signs requests forwarded to this VM, as long as a SHA-256 hash.
FORWARD_KEY_BYTES = 32
#: Seconds between two sweeps of instances and distances that have expired.
SWEEP_INTERVAL_SECONDS = 0.25


@attrs.define(frozen=True)
class EntryVm:
    """This VM's registration; ``address`` is where it serves clients."""

    name: str
    address: str
    data_centre: str


class ServeDaemon:
    """The process of one entry VM. Create it with :meth:`from_settings`.

    :param settings: a :class:`~mulberrydock._serve_model.ServeSettings`.
    :param store: a :class:`~mulberrydock.platform.PlatformStore`.
    :param wire: encodes the calls to instances and decodes their responses.
    :param log_sink: sink of the log, whose count of dropped lines becomes a metric.
    """

    def __init__(self, settings, store, wire, log_sink):
        self.settings = settings
        self.store = store
        store.on_call = self._on_store_call
        store.on_response = self._on_store_answer
        store.on_era_change = self._on_store_era
        self.log_sink = log_sink
        self.metrics = ServeMetrics()
        self.draining = False
        self.store_available = None
        self.stop = asyncio.Event()
        self.leader_exists = False
        self.leader = ""
        self.freshness = StoreFreshness.from_timing(
            settings.name, settings.timing, store.timeout
        )
        peer_port = settings.listen.peer_ports[0]
        forward_key = secrets.token_bytes(FORWARD_KEY_BYTES)
        self.membership = Membership(
            store,
            EntryVm(settings.name, settings.listen.front, settings.data_centre),
            max(ENTRY_LEASE_SECONDS, settings.store.least_lease_seconds),
            f"{settings.ip}:{peer_port}",
            forward_key,
            lambda: self.freshness.renewal_seconds(boot_seconds()),
            settings.timing.retry_budget_window_seconds,
        )
        self.fleet = FleetView(
            settings.data_centre,
            settings.timing,
            self.membership.count_vms,
            self._on_instance_removed,
            RateLimits(
                settings.name,
                lambda now: self.groups.senders(now),
                lambda instance_id: self.fleet.instances.get_incarnation(instance_id)
                is not None,
            ),
            settings.regions,
            self.membership.count_recent_vms,
        )
        if not settings.first_start:
            self.fleet.started_at = time.monotonic()
        self.fleet.links.on_change = (
            lambda service, lost: self.metrics.links_lost.labels(service).set(int(lost))
        )
        self.instance_feed = InstanceFeed(self.fleet.instances)
        self.usage_ledger = UsageLedger()
        self.relay = Relay(self.fleet, wire, self.metrics)
        self.front = Front(self.relay, wire, time.monotonic)
        self.groups = PeerGroups(
            self.membership,
            self.fleet.loads,
            settings.data_centre,
            lambda: self.fleet.links.lost,
        )
        self.relay.forwarding = Forwarding(self.groups)
        self.forward_front = ForwardFront(self.relay, forward_key, time.monotonic)
        self.connections = InboundConnections(self._connection_limits(), time.monotonic)
        self.metrics.inbound.observe(self.connections)
        self.relay.response_room = ResponseRoom.from_memory(
            settings.machine.memory_megabytes
        )
        self.metrics.observe_responses(self.relay.response_room)
        self.servers = Servers.from_daemon(self, wire)
        self.directory = Directory(self.groups, settings.listen.front)
        self.lease = LeaderLease(
            store,
            settings.name,
            settings.timing.lease_seconds,
            lambda: self.store_available
            and not self.leader_exists
            and not self.draining,
            boot_seconds,
            self._takeover_delay,
            settings.first_start,
            lambda: self.store_available is not None,
        )
        self.stage_controller = StageController(
            self.fleet,
            self.relay,
            wire,
            self.lease,
            settings.name,
            settings.timing.lease_seconds,
        )
        self.handover = LeaderHandover(self.fleet, self.groups, self.lease)
        self.quarantine = QuarantineSync(
            self.fleet.quarantine,
            store,
            settings.name,
            self._is_leader,
        )
        self.relay.claim_trial = self.quarantine.claim_trial
        self.version_records = VersionRecords(
            self.fleet.instances.versions,
            store,
            self._is_leader,
            settings.first_start,
        )
        self.watch = self._watch()
        self.watch.on_read = lambda: self.fleet.instances.versions.record_read(
            time.monotonic()
        )
        self.relay.catch_up = StoreView(
            self.watch, self.fleet.instances.versions.confirm
        ).catch_up
        self.freshness.on_news = self.watch.wake
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
            self._is_draining,
            self.fleet.estimates,
            self.fleet.avoided,
            self.fleet.quarantine,
            self.fleet.limits,
            self.usage_ledger,
            self.fleet.instances,
        )
        self.peers.freshness = self.freshness
        self.peers.on_unsent = self.metrics.peer_messages_unsent.inc
        self.fleet.quarantine.on_report = self.peers.send_soon
        self.relay.origins = self.peers.origins = OriginExchange(
            groups=self.groups, send=self.peers.send_to
        )
        self.origin_records = OriginRecords(
            # Another process under the same name must not replace these records.
            f"{settings.name}-{int(time.time() * 1000)}",
            store,
            self.relay.origins,
            self.fleet.instances.versions,
            self._is_leader,
        )
        self.relay.origins.on_begin = self.origin_records.add
        self.relay.origins.on_write = self.origin_records.write
        self.handlers |= {
            defaults.ORIGIN_PREFIX: self.origin_records.apply,
            defaults.VERSIONS_KEY: self.version_records.apply,
        }
        self.duties = Duties.from_daemon(self)
        self.handlers |= self.duties.handlers

    @classmethod
    def from_settings(cls, settings, log_sink):
        """Build the daemon over the platform's store and wire."""
        store = platform.PlatformStore(settings.store.address)
        return cls(settings, store, platform.PlatformWire(), log_sink)

    @property
    def ready(self):
        """Whether clients may be sent to this VM."""
        return not self.draining and self.fleet.routes.config is not None

    def _takeover_delay(self):
        """Return the seconds for which a vacant leader lease is left to other VMs."""
        takeover_rank = min(
            self.directory.takeover_rank(time.monotonic()), MAX_TAKEOVER_RANK
        )
        return takeover_rank * (self.watch_pause() + TAKEOVER_MARGIN_SECONDS)

    def _is_draining(self):
        return self.draining

    def _on_instance_removed(self, instance_id):
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
        self.servers.apply_limits(config.limits, time.monotonic())
        self.metrics.config_version.set(config.version)
        logger.info(
            "configuration in force",
            version=config.version,
            revision=revision,
            routes=len(config.routes),
        )

    def _on_instance(self, key, value, revision):
        self.instance_feed.apply(key, value, revision, time.monotonic())

    def _on_store_call(self, operation, key):
        self.metrics.store_calls.labels(call_purpose(operation, key)).inc()

    def _on_store_answer(self, answered):
        # Called for every call, not only those of the watch: an outage may end before
        # a poll that spans it times out, and instances whose records expired in it
        # would be taken for ones that left.
        now = time.monotonic()
        if answered:
            self.fleet.instances.mark_store_available(now)
            self.freshness.record_answer(boot_seconds())
        else:
            self.fleet.instances.mark_store_unavailable(now)
            if self.freshness.record_failure():
                self.peers.send_soon()
        if answered != self.store_available:
            event = "store answers" if answered else "store lost"
            logger.warning(event, address=self.settings.store.address)
        self.store_available = answered
        self.fleet.configuration_current = answered

    def _on_store_era(self):
        """Recover from the store's restoration from a copy some seconds old.

        Leases are lost, and their ids and the revisions are assigned again. The
        operator and the instances write their own values again; this VM must repair
        the rest.
        """
        logger.warning("store restored from an older copy", era=self.store.era)
        self.fleet.instances.handle_store_restored(time.monotonic())
        self.fleet.quarantine.handle_store_restored()
        self.membership.discard_lease()
        self.lease.discard()
        self.watch.invalidate()

    def _is_leader(self):
        return self.lease.valid(boot_seconds())

    def _on_leader(self, key, value, revision):
        self.leader_exists = value is not None
        self.leader = ""
        if value is not None:
            try:
                self.leader = records.decode(records.LeaderRecord, value).holder
            except Exception as error:  # capnp and base64 raise their own types
                logger.warning("leader record refused", key=key, error=repr(error))

    def _on_item(self, key, value, revision):
        """Apply a change in the store, or leave it out if it can't be applied.

        An error here would end the watch and this process, which would read the same
        record again when it is started anew.
        """
        try:
            self._apply_change(key, value, revision)
        except Exception:
            self.metrics.store_changes_failed.inc()
            key = key[:MAX_LOGGED_CHARACTERS]
            logger.exception("store change not applied", key=key, revision=revision)

    def _apply_change(self, key, value, revision):
        urgency = change_urgency(
            key, value, self.fleet.instances.instances, self.front.has_requests
        )
        if self.freshness.record_change(urgency, revision):
            self.peers.send_soon()
        for prefix, handler in self.handlers.items():
            if key.startswith(prefix):
                handler(key, value, revision)

    def _on_reset(self):
        self.fleet.instances.begin_reload()
        self.leader_exists = False
        self.membership.begin_reload()
        self.fleet.quarantine.begin_reload()
        self.origin_records.begin_reload()
        self.version_records.begin_reload()

    def _on_loaded(self):
        now = time.monotonic()
        self.quarantine.finish_reload(now)
        self.fleet.instances.finish_reload(now)
        self.membership.finish_reload()
        self.origin_records.finish_reload()
        self.version_records.finish_reload()

    def watch_pause(self):
        """Return the seconds between a response with changes and the next poll."""
        return self.settings.timing.config_apply_seconds * WATCH_PAUSE_SHARE

    def _watch(self):
        # One watch for all keys: each response to a poll counts as a call, and this
        # process needs every prefix.
        return PrefixWatch(
            self.store,
            "",
            self._on_item,
            self._on_reset,
            self._on_loaded,
            self.freshness.poll_seconds,
            self.watch_pause(),
            self.freshness,
        )

    async def _sweep(self):
        while True:
            now = time.monotonic()
            self.fleet.pauses.observe(now, boot_seconds())
            self.fleet.instances.sweep(now)
            self.fleet.distances.expire(now)
            self.connections.sweep(now)
            await asyncio.sleep(SWEEP_INTERVAL_SECONDS)

    def _connection_limits(self):
        machine = self.settings.machine
        return ConnectionLimits.from_machine(
            machine.memory_megabytes, machine.max_descriptors
        )

    async def run(self):
        """Serve until SIGTERM or SIGINT, then drain and return.

        :raises OSError: when an address can't be bound.
        """
        loop = asyncio.get_running_loop()
        Watchdog().start()
        for signum in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signum, self.stop.set)
        loop.add_signal_handler(signal.SIGHUP, self._on_hangup)
        self.servers.listen()
        await self.peers.open(self.settings.ip, self.settings.listen.peer_ports[0])
        tasks = [
            asyncio.ensure_future(self.watch.run()),
            asyncio.ensure_future(self.lease.run()),
            asyncio.ensure_future(self.stage_controller.run()),
            asyncio.ensure_future(self.membership.keep_alive()),
            asyncio.ensure_future(self.peers.run()),
            asyncio.ensure_future(self.quarantine.run()),
            asyncio.ensure_future(self.version_records.run()),
            asyncio.ensure_future(self.origin_records.run()),
            asyncio.ensure_future(self._sweep()),
            asyncio.ensure_future(self.relay.link_monitor.run()),
            asyncio.ensure_future(self.handover.run()),
            *(asyncio.ensure_future(duty.run()) for duty in self.duties.tasks),
        ]
        for task in tasks:
            task.add_done_callback(self._on_task_end)
        logger.info("started", name=self.settings.name, pid=os.getpid())
        await self.stop.wait()
        await self.drain(tasks)
        logger.info("stopped")

    def _on_task_end(self, task):
        if task.cancelled():
            return
        # Without one of its tasks this VM's state would become outdated: end the
        # process, so that the platform restarts it.
        logger.error("task ended", error=repr(task.exception()))
        self.stop.set()

    def _on_hangup(self):
        """Reload ``[timing]`` and ``[machine]``; other changes need a restart."""
        try:
            settings = load_serve_settings(os.environ[platform.SETTINGS_VARIABLE])
        except (SettingsError, OSError, KeyError) as error:
            logger.error("reload refused", error=str(error))
            return
        self.settings.timing = settings.timing
        self.settings.machine = settings.machine
        self.fleet.timing = settings.timing
        self.connections.limits = self._connection_limits()
        self.relay.response_room.set_memory(settings.machine.memory_megabytes)
        logger.info("reloaded")

    async def _leave(self):
        await self.membership.mark_leaving()
        await self.lease.release()

    def _refuse(self):
        for front in (self.front, self.forward_front):
            front.refusing = True
        self.servers.front.stop()

    def _record_last(self):
        """Write the crashes that the last requests revealed."""
        return self.quarantine.step(time.monotonic(), time.time())

    async def drain(self, tasks):
        """Stop serving: let clients move away and requests in progress end.

        :param tasks: those of this daemon, which end last.
        """
        fronts = (self.front, self.forward_front)
        self.draining = True
        for front in fronts:
            front.draining = True
        logger.info("draining", in_flight=len(self.relay.in_progress.ids()))
        self.peers.send()
        grace = self.settings.timing.grace_seconds
        plan = StopPlan.from_grace(grace, time.monotonic())
        self.relay.in_progress.ends_at = plan.ends[Step.FINISH]
        stop = Stop(
            plan,
            fronts,
            self.relay.in_progress,
            self.store.pending_calls,
            self._leave,
            self._refuse,
            self._record_last,
            self.relay.background_tasks,
            self.metrics.stop_unfinished,
        )
        await stop.run(tasks)
