"""Probes the links to instances whose state is in doubt.

Requests alone would show the loss of a VM's links too late: each has to wait until its
own connections have failed. And while no request is sent over a lost link, only a probe
shows that it is back.
"""

import asyncio
import time

import attrs

#: Seconds for a probe's connection: an instance two data centres away accepts one
#: within 10 ms.
PROBE_TIMEOUT_SECONDS = 0.3
#: Seconds without a byte of an instance that owes a response until its link is probed.
#: An instance that works on long prompts only is as silent, so an earlier probe would
#: often be in vain.
SILENCE_SECONDS = 0.75
#: Seconds for which a successful probe of a silent instance counts.
PROVEN_SECONDS = 2.0
#: Seconds between two probes of a link that is down: as long as it has been down,
#: within these bounds.
MIN_RETRY_SECONDS = 0.5
MAX_RETRY_SECONDS = 2.0
#: Maximum number of probes in progress.
MAX_PROBES = 8
#: Maximum number of seconds to wait for probes that show whether links are lost: for
#: one of another instance, and one of the remaining ones.
MAX_SETTLE_SECONDS = 2 * PROBE_TIMEOUT_SECONDS + 0.1
#: Seconds between two checks when no connection fails meanwhile.
CHECK_INTERVAL_SECONDS = 0.25


@attrs.define(eq=False)
class LinkMonitor:
    """The task that probes links.

    :param fleet: the :class:`~mulberrydock.fleet_view.FleetView`, whose ``links`` hold
        what is known.
    :param relay: the :class:`~mulberrydock.relay.Relay`, which has the connections.

    ``retry_at`` maps the instances whose links are down to when they are probed next,
    ``doubted`` holds those that made no progress on a request.
    """

    fleet: object
    relay: object
    probes: dict = attrs.field(factory=dict)
    retry_at: dict = attrs.field(factory=dict)
    doubted: set = attrs.field(factory=set)
    changed: asyncio.Event = attrs.field(factory=asyncio.Event)

    @property
    def links(self):
        """The :class:`~mulberrydock.links.Links` of this VM."""
        return self.fleet.links

    def record(self, instance, connected, now):
        """Record an attempt to connect to ``instance``."""
        if not self.links.record(instance, connected, now):
            return
        if connected:
            self.fleet.suspicion.record_link_back(instance.id)
            # The other links may be back as well.
            self.retry_at.clear()
        self.changed.set()

    def doubt(self, instance):
        """Probe the link to ``instance``, as a request made no progress there."""
        self.doubted.add(instance.id)
        self.changed.set()

    async def settle(self, service, now):
        """Wait until it is known whether the links to ``service`` are lost.

        While other instances can be reached, this takes one round trip to them.
        """
        while time.monotonic() - now < MAX_SETTLE_SECONDS:
            self.step(time.monotonic())
            instances = self.fleet.instances.serving(service)
            probes = [self.probes[i.id] for i in instances if i.id in self.probes]
            if not probes or self.links.is_lost(service):
                return
            if self.links.is_proven(service, now):
                return
            await asyncio.wait(probes, return_when=asyncio.FIRST_COMPLETED)

    async def are_lost(self, service):
        """Return whether the links to ``service`` are lost, once that is known.

        An instance that was reached before this call doesn't count: links that are
        lost together are lost one after the other.
        """
        now = time.monotonic()
        for control in self._controls(now):
            if control.record.service == service and self._may_probe(control):
                self._start_probe(control)
        await self.settle(service, now)
        return self.links.is_lost(service)

    def choose(self, now):
        """Return the instances whose links are to be probed at ``now``."""
        down = self.links.down()
        due = {i for i in down if now >= self.retry_at.get(i, now)}
        due |= self.doubted | self._silent(now)
        chosen = [self.fleet.instances.get_incarnation(i) for i in due]
        if down:
            chosen += self._controls()
        chosen = [i for i in chosen if i is not None and self._may_probe(i)]
        chosen.sort(key=lambda i: self.links.get(i.id).failed_at)
        return list(dict.fromkeys(chosen))[: MAX_PROBES - len(self.probes)]

    def _may_probe(self, instance):
        return not instance.leaving and instance.id not in self.probes

    def _silent(self, now):
        """Return the ids of the instances that owe a response and are silent."""
        silent = set()
        for instance_id, pool in self.relay.connection_pools.items():
            since = pool.silent_since()
            if since is None or now - since < SILENCE_SECONDS:
                continue
            if now - self.links.get(instance_id).connected_at >= PROVEN_SECONDS:
                silent.add(instance_id)
        return silent

    def _controls(self, since=0.0):
        """Return instances to probe because others of their service can't be reached.

        One other instance of each stage shows whether the fault is at the instance. If
        several are down, the links of this VM may be, so all others are probed.

        :param since: one that was reached before doesn't show that the links are there.
        """
        live = [i for i in self.fleet.instances.instances.values() if not i.leaving]
        down_since = {}
        for instance in live:
            link = self.links.get(instance.id)
            if link.is_down:
                service = instance.record.service
                down_since.setdefault(service, []).append(link.down_since)
        by_stage = {}
        for instance in live:
            if instance.record.service in down_since:
                key = instance.record.service, instance.record.stage
                by_stage.setdefault(key, []).append(instance)
        controls = []
        for (service, _), instances in by_stage.items():
            count = 1 if len(down_since[service]) == 1 else MAX_PROBES
            reached_since = max(since, *down_since[service])
            controls += self._unproven(instances, reached_since)[:count]
        return controls

    def _unproven(self, instances, since):
        """Return the instances not known to be down, none if one was reached since."""
        links = [self.links.get(instance.id) for instance in instances]
        if any(link.connected_at >= since for link in links):
            return []
        return [i for i, link in zip(instances, links) if not link.is_down]

    def step(self, now):
        """Start the probes that are due."""
        self.links.update_lost(now)
        for instance in self.choose(now):
            self.doubted.discard(instance.id)
            self._start_probe(instance)

    def _start_probe(self, instance):
        task = asyncio.ensure_future(self._probe(instance))
        self.probes[instance.id] = task

    async def _probe(self, instance):
        try:
            now = time.monotonic()
            pool = self.relay.connection_pool(instance)
            accepts = await pool.probe(now, PROBE_TIMEOUT_SECONDS)
        finally:
            self.probes.pop(instance.id, None)
        now = time.monotonic()
        if accepts:
            self.retry_at.pop(instance.id, None)
        else:
            down_seconds = now - (self.links.get(instance.id).down_since or now)
            pause = min(max(MIN_RETRY_SECONDS, down_seconds), MAX_RETRY_SECONDS)
            self.retry_at[instance.id] = now + pause
        self.changed.set()

    def forget(self, instance_id):
        """Drop a terminated incarnation."""
        self.retry_at.pop(instance_id, None)
        self.doubted.discard(instance_id)

    async def run(self):
        """Check the links until cancelled, at once after a change."""
        while True:
            self.changed.clear()
            self.step(time.monotonic())
            try:
                await asyncio.wait_for(self.changed.wait(), CHECK_INTERVAL_SECONDS)
            except asyncio.TimeoutError:
                continue
