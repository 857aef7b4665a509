"""Prometheus metrics of the inbound connections of a process."""

import prometheus_client


class ConnectionMetrics:
    """How many connections there are, what they hold, which were closed or refused.

    :param registry: the registry of the process's metrics.
    """

    def __init__(self, registry):
        self.open = prometheus_client.Gauge(
            "mulberrydock_inbound_connections",
            "Inbound connections that are open.",
            registry=registry,
        )
        self.waiting = prometheus_client.Gauge(
            "mulberrydock_inbound_waiting",
            "Inbound connections whose whole request waits for its response.",
            registry=registry,
        )
        self.held_bytes = prometheus_client.Gauge(
            "mulberrydock_inbound_held_bytes",
            "Memory that inbound connections hold, in bytes.",
            registry=registry,
        )
        self.limits = prometheus_client.Gauge(
            "mulberrydock_inbound_limit",
            "Limits on inbound connections: connections, waiting, held_bytes and "
            "whole_bytes.",
            ["limit"],
            registry=registry,
        )
        self.closed = prometheus_client.Counter(
            "mulberrydock_inbound_closed_total",
            "Inbound connections that this process has closed, by the reason.",
            ["reason"],
            registry=registry,
        )
        self.refused = prometheus_client.Counter(
            "mulberrydock_inbound_refused_total",
            "Requests refused before they were served, by the status code.",
            ["code"],
            registry=registry,
        )

    def observe(self, connections):
        """Show the state of an :class:`InboundConnections` in every sample."""
        self.open.set_function(lambda: len(connections.open))
        self.waiting.set_function(lambda: connections.waiting)
        self.held_bytes.set_function(lambda: connections.held)
        for name in ("connections", "waiting", "held_bytes", "whole_bytes"):
            self.limits.labels(name).set_function(
                lambda name=name: getattr(connections.limits, name)
            )
        connections.on_close = lambda reason: self.closed.labels(reason.value).inc()

    def record_refusal(self, status):
        """Count a refused request."""
        self.refused.labels(str(status)).inc()
