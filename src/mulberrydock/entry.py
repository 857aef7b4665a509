"""The entry daemon: HTTP for clients, routing to engines and services.

Clients ask ``GET /v1/entries`` which entry VMs to use and cache the response for
``ttl_seconds``. Language requests (OpenAI-compatible completions and chat completions,
buffered or streamed) go to an engine that runs the model;
``/v1/services/<kind>/<route>`` goes to an application service, with an idempotency
record in the store before any non-idempotent call.
"""

import asyncio
import signal
import time

import tornado.web
from loguru import logger

from . import defaults, handlers, records
from ._http import split_address
from .admission import Admission, RetryBudget
from .configuration import ConfigFollower, PeerConfigFetcher
from .crash_guard import CrashGuard
from .exceptions import ResultCode
from .idempotency import RecordLeases
from .inbound import (
    ConnectionLimits,
    InboundConnections,
    InboundServer,
    PageBounds,
)
from .load_report import LoadPoller
from .membership import Membership, Peer
from .metrics import EntryMetrics
from .policies import POLICIES
from .request import RequestLimits
from .routing import Router, Upstream
from .settings import class_by_name
from .store import StoreClient
from .vm_list import VmList
from .watch import PrefixWatch

#: Seconds for which a drain waits for records that an outage left unconfirmed.
BACKGROUND_TASK_TIMEOUT_SECONDS = 5.0
#: Limits on a client's request.
REQUEST_LIMITS = RequestLimits(header_timeout=10.0, idle_timeout=30.0)
#: How often a request's body is in memory: as it came, in its parts, and as it is sent.
BODY_COPIES = 3
#: Seconds between two checks for connections whose time is over.
SWEEP_INTERVAL_SECONDS = 1.0


class EntryBounds(PageBounds):
    """Bounds of clients' requests, whose refusals have a result code."""

    def refusal_fields(self, status):
        code = ResultCode.NO_ROOM if status == 503 else ResultCode.TOO_LARGE
        return {defaults.RESULT_HEADER: str(int(code))}


class EntryDaemon:
    """State of one entry daemon: settings, followers, routers and counters.

    Build it with :meth:`from_settings`; :meth:`run` serves until drained.
    """

    def __init__(self, settings, entry, store):
        self.settings = settings
        self.entry = entry
        self.store = store
        self.classes = class_by_name(settings)
        self.metrics = EntryMetrics()
        self.engines = Router(POLICIES[settings.routing.policy]())
        self.services = {}
        self.membership = Membership(
            store, entry, settings.deployment.entry_lease_ttl_seconds
        )
        self.admission = Admission()
        self.retry_budget = RetryBudget()
        self.record_leases = RecordLeases(
            store, settings.deployment.idempotency_retention_seconds
        )
        self.crash_guard = CrashGuard.from_store(
            store, entry.name, self._is_first_entry
        )
        self.crash_watch = PrefixWatch(
            store,
            defaults.CRASH_PREFIX,
            self.crash_guard.sync.apply,
            self.crash_guard.quarantine.begin_reload,
            self.crash_guard.finish_reload,
        )
        self.background_tasks = set()
        self.vm_list = VmList(settings.vm_list.address, self._on_vm_list)
        self.loads = LoadPoller(self.engines)
        self.config = ConfigFollower(store, settings, self._on_config)
        self.peer_config = PeerConfigFetcher(
            self.config, [e.address for e in settings.entries if e is not entry]
        )
        self.plan = PrefixWatch(store, defaults.PLAN_KEY, self._on_plan)
        self.draining = False
        self.in_flight = 0
        self.idle = asyncio.Event()
        self.idle.set()
        self._on_config(0, settings.declared)

    @classmethod
    def from_settings(cls, settings, name):
        """Build the daemon for the entry named ``name`` in ``settings``."""
        entry = next(e for e in settings.entries if e.name == name)
        return cls(settings, entry, StoreClient(settings.store.address))

    def _on_config(self, version, declared):
        by_name = {e.name: e for e in self.settings.engines}
        engines = [
            Upstream.from_engine(by_name[o.engine], o.model) for o in declared.engines
        ]
        self.engines.update(engines, declared.leaving)
        kinds = sorted({s.kind for s in self.settings.services})
        for kind in kinds:
            router = self.services.setdefault(kind, Router())
            router.update(
                [
                    Upstream(s.name, s.address, s.data_centre)
                    for s in self.settings.services
                    if s.kind == kind
                ],
                declared.leaving,
            )
        self.metrics.config_version.set(version)

    def _is_first_entry(self):
        """Return whether this entry is the first, by name, of those registered."""
        return self.entry.name == min([*self.membership.peers, self.entry.name])

    def _on_vm_list(self, leaving):
        self.engines.set_listed_leaving(leaving)
        for router in self.services.values():
            router.set_listed_leaving(leaving)

    def run_in_background(self, coroutine):
        """Run ``coroutine`` independently of its request; a drain waits for it."""
        task = asyncio.ensure_future(coroutine)
        self.background_tasks.add(task)
        task.add_done_callback(self.background_tasks.discard)

    def _on_plan(self, key, value, version):
        cordoned = set()
        if value is not None:
            cordoned = set(records.decode(records.PlanRecord, value).held)
        self.engines.cordoned = cordoned

    def leaving_vms(self):
        """Return the VMs that the configuration or the VM list shows as leaving."""
        return set(self.config.declared.leaving) | self.vm_list.leaving

    def leaving(self):
        """Return whether this entry must take no new work."""
        return self.draining or self.entry.name in self.leaving_vms()

    def entry_list(self):
        """Return the entries to offer clients: registered and not leaving."""
        leaving = self.leaving_vms()
        peers = dict(self.membership.peers)
        if not self.draining:
            peers[self.entry.name] = Peer(self.entry.address, self.entry.data_centre)
        else:
            peers.pop(self.entry.name, None)
        return [
            {"name": name, "address": peer.address, "data_centre": peer.data_centre}
            for name, peer in sorted(peers.items())
            if name not in leaving
        ]

    def begin_request(self):
        """Count a request as in flight."""
        self.engines.policy.entries = max(1, len(self.membership.peers))
        self.in_flight += 1
        self.idle.clear()
        self.metrics.in_flight.set(self.in_flight)

    def end_request(self):
        """Remove a request from the count of those in flight."""
        self.in_flight -= 1
        self.metrics.in_flight.set(self.in_flight)
        if self.in_flight == 0:
            self.idle.set()

    def make_app(self):
        """Return the tornado application of this entry."""
        args = {"daemon": self}
        return tornado.web.Application(
            [
                (r"/v1/entries", handlers.EntriesHandler, args),
                (r"/v1/health", handlers.HealthHandler, args),
                (r"/v1/config", handlers.ConfigHandler, args),
                (r"/metrics", handlers.MetricsHandler, args),
                (
                    r"/v1/(completions|chat/completions)",
                    handlers.CompletionHandler,
                    args,
                ),
                (r"/v1/services/([a-z0-9-]+)/(.+)", handlers.ServiceHandler, args),
            ]
        )

    def make_server(self):
        """Return the server of this entry's clients."""
        machine = self.settings.machine
        limits = ConnectionLimits.from_machine(
            machine.memory_megabytes, machine.max_descriptors
        )
        self.connections = InboundConnections(limits, time.monotonic)
        self.metrics.inbound.observe(self.connections)
        return InboundServer(
            self.make_app(),
            self.connections,
            EntryBounds(REQUEST_LIMITS, copies=BODY_COPIES),
            self.metrics.inbound.record_refusal,
        )

    async def _sweep(self):
        while True:
            self.connections.sweep(time.monotonic())
            await asyncio.sleep(SWEEP_INTERVAL_SECONDS)

    async def run(self):
        """Serve until SIGTERM or SIGINT, then drain and return."""
        host, port = split_address(self.entry.address)
        server = self.make_server()
        server.listen(port, host)
        stop = asyncio.Event()
        loop = asyncio.get_running_loop()
        for signum in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signum, stop.set)
        await self.membership.register()
        tasks = [
            asyncio.ensure_future(self.membership.keep_alive()),
            asyncio.ensure_future(self.membership.follow()),
            asyncio.ensure_future(self.config.run()),
            asyncio.ensure_future(self.peer_config.run()),
            asyncio.ensure_future(self.plan.run()),
            asyncio.ensure_future(self.crash_watch.run()),
            asyncio.ensure_future(self.crash_guard.sync.run()),
            asyncio.ensure_future(self.vm_list.run()),
            asyncio.ensure_future(self.loads.poll_loads()),
            asyncio.ensure_future(self.loads.poll_events()),
            asyncio.ensure_future(self._sweep()),
        ]
        logger.info("entry serving", address=self.entry.address)
        await stop.wait()
        await self.drain(server, time.monotonic())
        for task in tasks:
            task.cancel()

    async def drain(self, server, now):
        """Stop offering this entry, finish the requests in flight, and deregister.

        New requests during the drain get ``DRAINING`` with ``Retry-After: 0`` (they
        have not run), so clients ask another entry for the entry list.
        """
        self.draining = True
        logger.info("entry draining", in_flight=self.in_flight)
        await self.membership.mark_leaving()
        await asyncio.sleep(defaults.DRAIN_GRACE_SECONDS)
        try:
            await asyncio.wait_for(
                self.idle.wait(), self.settings.deployment.drain_timeout_seconds
            )
        except asyncio.TimeoutError:
            logger.warning("drain timed out", in_flight=self.in_flight)
        if self.background_tasks:
            await asyncio.wait(
                self.background_tasks, timeout=BACKGROUND_TASK_TIMEOUT_SECONDS
            )
        server.stop()
        await self.membership.leave()
        logger.info("entry stopped")
