"""The HTTP pages of an entry VM: readiness, the VMs to use, metrics."""

import time

import tornado.web

from . import platform

#: Seconds for which clients may cache the directory's response. A third of the clients
#: caches it three times as long, so that time has to be well within the part of the
#: grace period in which a stopping VM still takes requests.
ANSWER_TTL_SECONDS = 1.0


class _Page(tornado.web.RequestHandler):
    def initialize(self, daemon):
        self.daemon = daemon


class ReadyPage(_Page):
    """Answers 200 while clients may be sent to this VM, 503 otherwise."""

    def get(self):
        self.set_status(200 if self.daemon.ready else 503)


class ResolvePage(_Page):
    """Returns the addresses of the entry VMs that a client should use."""

    def get(self):
        daemon = self.daemon
        if daemon.fleet.routes.config is None:
            # It knows no other VM yet either; the client then asks another directory.
            self.set_status(503)
            return
        now = time.monotonic()
        data_centre = self.get_query_argument(platform.RESOLVE_DATA_CENTRE, "")
        addresses = daemon.directory.addresses(daemon.draining, now, data_centre)
        ttl = min(ANSWER_TTL_SECONDS, daemon.settings.timing.answer_ttl_seconds)
        self.set_header("Content-Type", "application/json")
        self.finish(platform.resolve_body(addresses, ttl))


class MetricsPage(_Page):
    """The metrics in Prometheus text format."""

    def get(self):
        self.daemon.metrics.log_dropped.set(self.daemon.log_sink.dropped)
        self.set_header("Content-Type", "text/plain; version=0.0.4")
        self.finish(self.daemon.metrics.render())


def make_pages(daemon):
    """Return the application of a :class:`~mulberrydock.serve.ServeDaemon`'s pages."""
    args = {"daemon": daemon}
    return tornado.web.Application(
        [
            (platform.READY_PATH, ReadyPage, args),
            (platform.RESOLVE_PATH, ResolvePage, args),
            (r"/metrics", MetricsPage, args),
        ],
        log_function=lambda handler: None,
    )
