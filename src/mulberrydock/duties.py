"""Composes what a VM runs for the duties that one VM at a time performs."""

import time

from . import defaults, platform
from .clock import boot_seconds
from .scale_controller import ScaleController
from .usage import UsageCounter
from .usage_exchange import SUCCESSORS, UsageExchange
from .usage_reporter import UsageReporter
from .wall_clock import WallClock


class Duties:
    """The duties that the settings of an entry VM name.

    Create it with :meth:`from_daemon`.

    ``tasks`` are the objects to run; ``handlers`` maps store keys to what applies their
    records.

    :param daemon: the :class:`~mulberrydock.serve.ServeDaemon` of this VM.
    :param calls: the :class:`~mulberrydock.platform.PlatformDuties`, None where no duty
        is due.
    """

    def __init__(self, daemon, calls):
        self.daemon = daemon
        self.settings = daemon.settings
        self.calls = calls
        self.tasks = []
        self.handlers = {}

    @classmethod
    def from_daemon(cls, daemon):
        """Build the duties that the daemon's settings name, none without an address."""
        settings = daemon.settings.duties
        if not settings.address:
            return cls(daemon, None)
        duties = cls(daemon, platform.PlatformDuties(settings.address))
        if platform.USAGE_DUTY in settings.names:
            duties.add_usage()
        if platform.SCALING_DUTY in settings.names:
            duties.add_scaling()
        return duties

    def add_scaling(self):
        """Add the orders of engines."""
        daemon = self.daemon
        self.tasks.append(
            ScaleController(daemon.fleet, self.calls, daemon.lease, self.settings.name)
        )

    def add_usage(self):
        """Add the counting and reporting of the teams' usage."""
        daemon, settings = self.daemon, self.settings
        wall_clock = WallClock()
        counter = UsageCounter(settings.duties.usage_window_seconds)
        reporter = UsageReporter(
            counter,
            daemon.usage_ledger,
            daemon.store,
            self.calls,
            daemon.lease,
            settings.name,
            settings.duties.usage_due_seconds,
            wall_clock,
        )
        exchange = UsageExchange(
            settings.name,
            int(time.time() * 1000),
            counter,
            daemon.usage_ledger,
            self.usage_receivers,
            daemon.membership.count_vms,
            daemon.peers.send_to,
            wall_clock,
        )
        daemon.relay.on_begin = lambda team, age: counter.record(
            team, wall_clock.unix(boot_seconds()) - age
        )
        self.handlers[defaults.USAGE_KEY] = reporter.apply
        self.tasks += [exchange, reporter]

    def usage_receivers(self):
        """Return the VMs that report the usage or would do so next, by name."""
        daemon = self.daemon
        peers = daemon.groups.known_peers()
        successors = daemon.directory.takeover_order(time.monotonic())[:SUCCESSORS]
        return {
            name: peers[name] for name in (*successors, daemon.leader) if name in peers
        }
