"""Which instances this VM can connect to, as its own connections show.

A failed connection doesn't show what failed: the instance, or this VM's link to it. If
a VM can connect to no instance of a service while all of them are registered, its own
links are the likely cause.
"""

import math

import attrs
from loguru import logger

from .instances import Stage

#: Maximum number of instances of one stage whose connections must have failed, one
#: after the other, before the links to that stage count as lost. With fewer, the crash
#: of a part of a large pool could look like lost links.
MAX_FAILED_INSTANCES = 8


@attrs.define
class Link:
    """When connecting to one instance last succeeded and last failed.

    Both are monotonic seconds, infinitely long ago before the first time.
    ``down_since`` is when the first failure since the last success was, None without
    one.
    """

    connected_at: float = -math.inf
    failed_at: float = -math.inf
    down_since: float | None = None

    @property
    def is_down(self):
        """True when the last attempt to connect failed."""
        return self.down_since is not None

    def record(self, connected, now):
        """Record an attempt to connect."""
        if connected:
            self.connected_at, self.down_since = now, None
        else:
            self.failed_at = now
            self.down_since = self.down_since or now


class Links:
    """The :class:`Link` of each instance by incarnation.

    The links to a service count as lost when no connection can be made to any instance
    of one of its stages. Methods take the current time as ``now``, in monotonic
    seconds.

    :param instances: the :class:`~mulberrydock.instances.InstanceRegistry`.
    :param on_change: called with a service and whether the links to it are lost, each
        time that this changes.

    ``lost_since`` maps the services without links to when that was found.
    """

    def __init__(self, instances, on_change=lambda service, lost: None):
        self.instances = instances
        self.on_change = on_change
        self.links = {}
        self.lost_since = {}

    @property
    def lost(self):
        """The services to which this VM has lost its links."""
        return frozenset(self.lost_since)

    def is_lost(self, service):
        """Return whether this VM has lost its links to ``service``."""
        return service in self.lost_since

    def get(self, instance_id):
        """Return the :class:`Link` to an instance."""
        link = self.links.get(instance_id)
        return Link() if link is None else link

    def down(self):
        """Return the ids of the instances whose links are down."""
        return {name for name, link in self.links.items() if link.is_down}

    def record(self, instance, connected, now):
        """Record an attempt to connect to ``instance``.

        :param connected: whether a connection was made.
        :returns: whether the link is down or back since this attempt.
        """
        link = self.links.setdefault(instance.id, Link())
        changed = link.is_down == connected
        if changed:
            event = "link back" if connected else "link down"
            logger.info(event, instance=instance.id)
        link.record(connected, now)
        # A connection can only end a loss.
        if not connected or self.is_lost(instance.record.service):
            self.update(instance.record.service, now)
        return changed

    def can_run(self, service):
        """Return whether an instance of ``service`` that runs requests can be reached.

        Without links to the prefill engines only, requests still run.
        """
        return not self._lost_stages(service) - {Stage.PREFILL}

    def is_proven(self, service, since):
        """Return whether an instance of each stage was connected to since then."""
        links_by_stage = self._links_by_stage(service).values()
        return all(
            any(link.connected_at >= since for link in links)
            for links in links_by_stage
        )

    def forget(self, instance_id):
        """Drop a terminated incarnation."""
        self.links.pop(instance_id, None)

    def update(self, service, now):
        """Find out anew whether the links to ``service`` are lost."""
        lost = self._lost_stages(service)
        if lost and service not in self.lost_since:
            self.lost_since[service] = now
            stages = sorted(stage.value or "plain" for stage in lost)
            logger.warning("links lost", service=service, stages=stages)
            self.on_change(service, True)
        elif not lost and service in self.lost_since:
            seconds = round(now - self.lost_since.pop(service), 3)
            logger.warning("links back", service=service, seconds=seconds)
            self.on_change(service, False)

    def update_lost(self, now):
        """Find out whether the lost links are back, as instances may have changed."""
        for service in list(self.lost_since):
            self.update(service, now)

    def _lost_stages(self, service):
        """Return the stages to which this VM has no link."""
        links_by_stage = self._links_by_stage(service)
        return {s for s, links in links_by_stage.items() if _all_failed(links)}

    def _links_by_stage(self, service):
        links_by_stage = {}
        for instance in self.instances.serving(service):
            links = links_by_stage.setdefault(instance.record.stage, [])
            links.append(self.get(instance.id))
        return links_by_stage


def _all_failed(links):
    """Return whether attempts to connect have failed on all of ``links``.

    Of many links, :data:`MAX_FAILED_INSTANCES` are enough if no attempt has succeeded
    since the first of them failed.
    """
    connected_at = max(link.connected_at for link in links)
    failed = sum(link.failed_at > connected_at for link in links)
    return failed >= min(len(links), MAX_FAILED_INSTANCES)
