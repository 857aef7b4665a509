"""Prometheus metrics of the entry daemons.

:class:`EntryMetrics` has histograms per tenant and class, :class:`ServeMetrics` those
of an entry VM on the hosting platform.
"""

import prometheus_client

from .inbound.metrics import ConnectionMetrics

#: Bounds of the latency buckets in seconds, from a status lookup to a long stream.
LATENCY_BUCKETS = (0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2, 4, 8, 16, 32, 64)


#: Bound on the number of tenants with time series of their own; 560 tenants are
#: expected.
MAX_TENANT_LABELS = 1000
#: Tenant label that all further tenants share.
OTHER_TENANTS_LABEL = "other"


class EntryMetrics:
    """Metrics of the entry daemon.

    They have a registry of their own, so that several daemons can run in one process.
    """

    def __init__(self):
        self.registry = prometheus_client.CollectorRegistry()
        self.tenants = set()
        self.latency = prometheus_client.Histogram(
            "mulberrydock_request_seconds",
            "Seconds from arrival to the last byte of the answer.",
            ["tenant", "klass", "code"],
            buckets=LATENCY_BUCKETS,
            registry=self.registry,
        )
        self.first_byte = prometheus_client.Histogram(
            "mulberrydock_first_byte_seconds",
            "Seconds from arrival to the first byte sent to the caller.",
            ["tenant", "klass"],
            buckets=LATENCY_BUCKETS,
            registry=self.registry,
        )
        self.retries = prometheus_client.Counter(
            "mulberrydock_upstream_retries_total",
            "Requests sent again to another upstream before any byte was sent.",
            ["klass"],
            registry=self.registry,
        )
        self.config_version = prometheus_client.Gauge(
            "mulberrydock_config_version",
            "Version of the declared configuration in force here.",
            registry=self.registry,
        )
        self.in_flight = prometheus_client.Gauge(
            "mulberrydock_in_flight",
            "Requests being answered now.",
            registry=self.registry,
        )
        self.inbound = ConnectionMetrics(self.registry)

    def tenant_label(self, tenant):
        """Return the label for ``tenant``; beyond the bound, OTHER_TENANTS_LABEL.

        Clients name their tenant in a header: without a bound, invented names would
        fill the daemon's memory with time series.
        """
        if tenant not in self.tenants:
            if len(self.tenants) >= MAX_TENANT_LABELS:
                return OTHER_TENANTS_LABEL
            self.tenants.add(tenant)
        return tenant

    def render(self):
        """Return the metrics in the text exposition format, and its content type."""
        return (
            prometheus_client.generate_latest(self.registry),
            prometheus_client.CONTENT_TYPE_LATEST,
        )


#: Bucket bounds of the ratio of an actual wait to its estimate: about a quarter off, a
#: factor of two, and worse, on either side.
WAIT_RATIO_BUCKETS = (0.25, 0.5, 0.8, 1.25, 2.0, 4.0, 8.0)


class ServeMetrics:
    """Metrics of one entry VM on the hosting platform, in a registry of their own."""

    def __init__(self):
        self.registry = prometheus_client.CollectorRegistry()
        self.latency = prometheus_client.Histogram(
            "mulberrydock_request_seconds",
            "Seconds from a request's arrival to the end of its answer.",
            ["route", "code"],
            buckets=LATENCY_BUCKETS,
            registry=self.registry,
        )
        self.wait_ratio = prometheus_client.Histogram(
            "mulberrydock_wait_ratio",
            "Seconds to a stream's first event against those estimated for it.",
            ["service"],
            buckets=WAIT_RATIO_BUCKETS,
            registry=self.registry,
        )
        self.token_seconds = prometheus_client.Gauge(
            "mulberrydock_token_seconds",
            "Learnt seconds for reading one prompt token without context.",
            ["service"],
            registry=self.registry,
        )
        self.sends = prometheus_client.Counter(
            "mulberrydock_sends_total",
            "Requests sent to an upstream instance, retries included.",
            ["service"],
            registry=self.registry,
        )
        self.far_sends = prometheus_client.Counter(
            "mulberrydock_far_sends_total",
            "Sends to instances of another region.",
            ["service"],
            registry=self.registry,
        )
        self.room_refusals = prometheus_client.Counter(
            "mulberrydock_room_refusals_total",
            "Requests refused at once as their pool has no room for them.",
            ["service", "route"],
            registry=self.registry,
        )
        self.forwards = prometheus_client.Counter(
            "mulberrydock_forwards_total",
            "Requests forwarded to a peer, as this VM has no links to the instances.",
            ["service"],
            registry=self.registry,
        )
        self.streams_taken_up = prometheus_client.Counter(
            "mulberrydock_streams_taken_up_total",
            "Streams that clients take up, by whether the version is known.",
            ["service", "known"],
            registry=self.registry,
        )
        self.moves = prometheus_client.Counter(
            "mulberrydock_moves_total",
            "Moves of running streams to other engines, by what became of them.",
            ["service", "outcome"],
            registry=self.registry,
        )
        self.rejected = prometheus_client.Counter(
            "mulberrydock_rejected_total",
            "Requests ended with an answer of this process's own.",
            ["code"],
            registry=self.registry,
        )
        self.stop_unfinished = prometheus_client.Counter(
            "mulberrydock_stop_unfinished_total",
            "Requests that the stop of this VM ended before their end.",
            registry=self.registry,
        )
        self.store_calls = prometheus_client.Counter(
            "mulberrydock_store_calls_total",
            "Calls to the platform's store by purpose, unanswered ones included.",
            ["purpose"],
            registry=self.registry,
        )
        self.connections = prometheus_client.Counter(
            "mulberrydock_upstream_connections_total",
            "New connections to instances by the reason why none was reused.",
            ["reason"],
            registry=self.registry,
        )
        self.incarnation_checks = prometheus_client.Counter(
            "mulberrydock_incarnation_checks_total",
            "Checks whether an instance has restarted, by the outcome.",
            ["outcome"],
            registry=self.registry,
        )
        self.peer_messages_unsent = prometheus_client.Counter(
            "mulberrydock_peer_messages_unsent_total",
            "Messages to peers that held a value that can't be encoded.",
            registry=self.registry,
        )
        self.store_changes_failed = prometheus_client.Counter(
            "mulberrydock_store_changes_failed_total",
            "Changes in the store that this VM could not apply and left out.",
            registry=self.registry,
        )
        self.links_lost = prometheus_client.Gauge(
            "mulberrydock_links_lost",
            "Whether this VM can't connect to any instance of a stage of the service.",
            ["service"],
            registry=self.registry,
        )
        self.config_version = prometheus_client.Gauge(
            "mulberrydock_config_version",
            "Version of the configuration in force here.",
            registry=self.registry,
        )
        self.log_dropped = prometheus_client.Gauge(
            "mulberrydock_log_lines_dropped",
            "Log lines dropped since the start for volume or a full pipe.",
            registry=self.registry,
        )
        self.inbound = ConnectionMetrics(self.registry)
        self.response_bytes = prometheus_client.Gauge(
            "mulberrydock_response_bytes",
            "Bytes of instances' responses that are held until their ends.",
            registry=self.registry,
        )
        self.response_limit = prometheus_client.Gauge(
            "mulberrydock_response_limit_bytes",
            "Bytes beyond which large responses of instances aren't read on.",
            registry=self.registry,
        )

    def observe_responses(self, room):
        """Show the state of a ``ResponseRoom`` in every sample."""
        self.response_bytes.set_function(lambda: room.held)
        self.response_limit.set_function(lambda: room.limit)

    def render(self):
        """Return the metrics in the text exposition format."""
        return prometheus_client.generate_latest(self.registry)
