"""The control daemon: the leader among the controllers sends orders to engines.

Each pass reads every engine, plans roles, and lets the rollout decide which
engines to cordon, order or release. Orders carry the fencing token and the
engine's order count, so that an engine which doesn't check tokens still refuses
an order based on an older state.
"""

import asyncio
import signal
import time
import uuid

import attrs
import tornado.httpclient
from loguru import logger

from . import defaults, records
from ._http import fetch_json
from .configuration import ConfigFollower, seed_config
from .lease import LeaderLease
from .planner import MixRoles, RoleDemandMeter, StaticRoles
from .rollout import EngineView, Rollout, Target
from .store import StoreClient

#: Timeout of reading an engine's state or load.
READ_TIMEOUT_SECONDS = 1.0
#: Declared role with which the planner chooses the engine's role.
AUTO_ROLE = "auto"


def make_planner(roles):
    """Return the role planner selected in the settings' ``[roles]`` table."""
    if roles.planner == "mix":
        return MixRoles(
            roles.goodput_weight,
            roles.change_weight,
            roles.settle_seconds,
            roles.interval_seconds,
        )
    return StaticRoles()


class Controller:
    """One controller process. Create it with :meth:`from_settings`."""

    def __init__(self, settings, name, store):
        self.settings = settings
        self.engines = {e.name: e for e in settings.engines}
        self.store = store
        self.lease = LeaderLease(store, name, settings.control.lease_ttl_seconds)
        self.config = ConfigFollower(store, settings)
        self.planner = make_planner(settings.roles)
        self.meter = RoleDemandMeter()
        self.rollout = Rollout()
        self.plan_version = 0
        self.plan_token = 0
        self.fenced = set()
        self.http = tornado.httpclient.AsyncHTTPClient()

    @classmethod
    def from_settings(cls, settings, name="control-1"):
        """Build a controller named ``name`` against the settings' store."""
        return cls(settings, name, StoreClient(settings.store.address))

    async def read_engine(self, name):
        """Return an engine's :class:`~mulberrydock.rollout.EngineView`.

        :returns: None when it doesn't answer.
        """
        address = self.engines[name].address
        try:
            _, state = await fetch_json(
                self.http, "GET", address, "/v1/state", timeout=READ_TIMEOUT_SECONDS
            )
            _, load = await fetch_json(
                self.http, "GET", address, "/v1/load", timeout=READ_TIMEOUT_SECONDS
            )
        except (tornado.httpclient.HTTPClientError, OSError, ValueError):
            return None
        return EngineView(
            name=name,
            instance=state["instance"],
            model=state["model"],
            version=state["version"],
            adapter=state["adapter"],
            role=state["role"],
            sequence=state["sequence"],
            available=state["available"],
            running=load.get("active", 0),
            waiting=load.get("waiting", 0),
            reported_at=time.monotonic() - load.get("age_seconds", 0.0),
            prefilled_tokens=load.get("prefilled_tokens", 0),
            output_tokens=load.get("output_tokens", 0),
        )

    async def order(self, view, target):
        """Send an order with the fencing token, if the lease is valid at that moment.

        :returns: whether the engine accepted it.
        """
        if not self.lease.valid(time.monotonic()):
            return False
        body = {
            "order_id": uuid.uuid4().hex,
            "fencing_token": self.lease.authority.token,
            "expected_sequence": view.sequence,
            "expected_instance": view.instance,
            **attrs.asdict(target),
        }
        address = self.engines[view.name].address
        try:
            status, _ = await fetch_json(self.http, "POST", address, "/v1/orders", body)
        except (tornado.httpclient.HTTPClientError, OSError):
            return False
        logger.info("order", engine=view.name, want=repr(target), status=status)
        return status == 200

    def targets(self, views, now):
        """Return the desired :class:`Target` of every engine that isn't leaving."""
        declared = self.config.declared
        rows = [o for o in declared.engines if o.engine not in declared.leaving]
        planned = [
            views[o.engine] for o in rows if o.role == AUTO_ROLE and o.engine in views
        ]
        demand = self.meter.observe(planned, self.engines, now)
        roles = self.planner.plan(planned, demand, now)
        return {
            o.engine: Target(o.model, o.version, o.adapter, roles.get(o.engine, o.role))
            for o in rows
            if o.role != AUTO_ROLE or o.engine in roles
        }

    async def adopt_plan(self):
        """Read the plan that the previous leader wrote; return whether it worked.

        Its cordons count from now on, so that an engine that it was emptying stays
        cordoned and isn't ordered too early.
        """
        if self.plan_token == self.lease.authority.token:
            return True
        read = await self.store.get(defaults.PLAN_KEY)
        if read.is_error():
            return False
        self.rollout = Rollout()
        self.fenced = set()
        self.plan_version = 0
        if read.ok is not None:
            self.plan_version = read.ok.version
            record = records.decode(records.PlanRecord, read.ok.value)
            now = time.monotonic()
            self.rollout.cordoned = {name: now for name in record.held}
        self.plan_token = self.lease.authority.token
        return True

    async def write_plan(self, cordoned):
        """Write the cordoned engines to the store; return whether it worked.

        This is a compare-and-swap on the version that this controller last saw: it
        fails for a former leader, as its successor has written since.
        """
        if not self.lease.valid(time.monotonic()):
            return False
        record = records.PlanRecord.new_message(
            holder=self.lease.name, held=sorted(cordoned)
        )
        written = await self.store.put(
            defaults.PLAN_KEY,
            records.encode(record),
            expect_version=self.plan_version,
        )
        if written.is_error():
            # The write may have taken effect: read the plan again before the next.
            self.plan_token = 0
            return False
        self.plan_version = written.ok
        return True

    async def fence(self, views):
        """Send each engine, once per term as leader, an order that changes nothing.

        It increases the engine's order count, and its token if it checks tokens. The
        engine then refuses orders of an earlier leader that arrive late, as they carry
        the older count.

        :returns: the :class:`~mulberrydock.rollout.EngineView` of the engines that may
            be ordered, by name.
        """
        unfenced = [
            v for v in views.values() if (v.name, v.instance) not in self.fenced
        ]
        for view in unfenced:
            if await self.order(view, view.current_target):
                self.fenced.add((view.name, view.instance))
        # The order counts of those have just changed: they follow in the next pass.
        return {v.name: v for v in views.values() if v not in unfenced}

    async def reconcile(self, now):
        """Make one pass over all engines, as the leader."""
        if not await self.adopt_plan():
            return
        names = [o.engine for o in self.config.declared.engines]
        read = await asyncio.gather(*[self.read_engine(name) for name in names])
        views = await self.fence({v.name: v for v in read if v is not None})
        targets = self.targets(views, now)
        actions = self.rollout.decide(views, targets, now)
        cordoned = set(self.rollout.cordoned) - set(actions.release) | set(actions.hold)
        if cordoned != set(self.rollout.cordoned):
            if not await self.write_plan(cordoned):
                return
            written_at = time.monotonic()
            self.rollout.cordoned = {
                n: self.rollout.cordoned.get(n, written_at) for n in cordoned
            }
            logger.info("plan", held=sorted(cordoned))
        for name in actions.order:
            await self.order(views[name], targets[name])

    async def run(self):
        """Run until SIGTERM or SIGINT, then release the lease."""
        stop = asyncio.Event()
        loop = asyncio.get_running_loop()
        for signum in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signum, stop.set)
        await seed_config(self.store, self.settings)
        tasks = [
            asyncio.ensure_future(self.config.run()),
            asyncio.ensure_future(self.lease.run()),
        ]
        interval = self.settings.control.reconcile_interval_seconds
        while not stop.is_set():
            now = time.monotonic()
            if self.lease.valid(now):
                await self.reconcile(now)
            try:
                await asyncio.wait_for(stop.wait(), interval)
            except asyncio.TimeoutError:
                pass
        for task in tasks:
            task.cancel()
        await self.lease.release()
