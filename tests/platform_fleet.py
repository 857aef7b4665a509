"""Test helper: a small fleet on the platform's protocol.

The store and the instances are stand-ins in this process, the daemons are processes of
their own.
"""

import asyncio
import http.client
import json
import os
import resource
import subprocess
import sys
import threading
import time

import tornado.httpserver

from mulberrydock.fleet import free_ports, port_locks
from mulberrydock.platform import SETTINGS_VARIABLE, wire
from mulberrydock.standin import platform_store
from mulberrydock.standin.platform_engine import PlatformEngine

HOST = "shop.example"
#: Path prefixes of the routes of :func:`config`, one of each kind.
RESUMABLE_PATH = "/letters/"
STREAM_PATH = "/queries/"
IDEMPOTENT_PATH = "/status/"
NON_IDEMPOTENT_PATH = "/receipts/"

SETTINGS = """
name = "{name}"
data_centre = "dc1"
region = "r1"
ip = "127.0.0.1"
first_start = {first_start}
[listen]
front = "127.0.0.1:{front}"
ready = "127.0.0.1:{ready}"
directory = "127.0.0.1:{directory}"
metrics_port = {metrics}
peer_ports = [{peer}, {peer}]
[store]
address = "{store}"
[timing]
contact_seconds = 2.2
config_apply_seconds = 2.0
drain_seconds = 2.0
grace_seconds = {grace}
answer_ttl_seconds = 5.0
lease_seconds = 1.0
retry_budget_ratio = 0.2
retry_budget_window_seconds = 10.0
retry_budget_floor = 50.0
"""


def wait_until(check, seconds=15.0):
    """Wait until ``check()`` is true and return its value."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        value = check()
        if value:
            return value
        time.sleep(0.02)
    raise AssertionError(f"condition not met within {seconds} s")


def route(prefix, kind, service, **options):
    """Return a route document."""
    row = {
        "name": prefix.strip("/"),
        "host": HOST,
        "path_prefix": prefix,
        "kind": kind,
        "timeout_ms": 4000,
        "target_latency_ms": 300,
        "priority": 1,
        "service": service,
        "max_attempts": 2,
    }
    return row | options


def config(version, routes=None):
    """Return a configuration document, by default with one route of each kind."""
    routes = routes or [
        route(RESUMABLE_PATH, "streaming", "llm", resumable=True, target_gap_ms=300),
        route(STREAM_PATH, "streaming", "llm", max_attempts=1, target_gap_ms=300),
        route(IDEMPOTENT_PATH, "idempotent", "app"),
        route(NON_IDEMPOTENT_PATH, "non_idempotent", "app"),
    ]
    services = [
        {"name": "llm", "max_connections": 100, "engine": {"kv_tokens": 1000}},
        {"name": "app", "max_connections": 100},
    ]
    return {"version": version, "routes": routes, "services": services, "limits": {}}


class PlatformFleet:
    """A store and instances on an event loop in a thread, and daemons as processes.

    ``engines`` holds the stand-ins of all instances by id, those of plain services
    included. ``extra_settings`` is TOML text added to each daemon's settings, and
    ``max_descriptors`` limits the descriptors of each daemon, None for this process's.

    :param directory: where the daemons' settings files and logs are written.
    """

    def __init__(self, directory):
        self.directory = directory
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()
        self.store = self.call_on_loop(self._start_store)
        self.store_address = f"127.0.0.1:{self.store_port}"
        self.engines = {}
        self.daemons = {}
        self.settings = {}
        self.extra_settings = ""
        self.max_descriptors = None

    def call_on_loop(self, function, *args):
        """Run ``function`` on the stand-ins' event loop and return its result."""

        async def run():
            return function(*args)

        return asyncio.run_coroutine_threadsafe(run(), self.loop).result(10)

    def _start_store(self):
        state = platform_store.PlatformStoreState()
        app = platform_store.make_app(state)
        self.store_port = free_ports(1)[0]
        self.store_server = tornado.httpserver.HTTPServer(app)
        self.store_server.listen(self.store_port, address="127.0.0.1")
        self.expiry_task = asyncio.ensure_future(platform_store.expire_leases(state))
        return state

    def write(self, key, document):
        """Write a document to the store, as an operator or an instance does."""
        self.call_on_loop(self.store.write, key, document)

    def remove(self, key):
        """Remove a key from the store."""
        self.call_on_loop(self.store.delete, key, None)

    def add_instance(self, instance_id, service, stage="", address="", **options):
        """Start an instance and register it in the store."""
        address = address or f"127.0.0.1:{free_ports(1)[0]}"
        engine = PlatformEngine(instance_id, address, service, stage, **options)
        self.call_on_loop(engine.listen)
        self.engines[instance_id] = engine
        self.write(f"servers/{instance_id}", engine.store_document())
        return engine

    def fail_next(self, service, *faults):
        """Inject faults into the next runs of a service, whichever instances run them.

        :returns: the faults that have not happened yet; a fault is removed when it
            happens.
        """
        shared = list(faults)
        for engine in self.engines.values():
            if engine.service == service:
                engine.faults = shared
        return shared

    def start(self, name="entry-1", grace=3.0):
        """Start a daemon; does not wait until it is ready."""
        ports = free_ports(5)
        keys = ("front", "ready", "directory", "metrics", "peer")
        # As the platform states it: no process of this name ran before.
        first_start = str(name not in self.settings).lower()
        self.settings[name] = dict(zip(keys, ports))
        path = self.directory / f"{name}.toml"
        path.write_text(
            SETTINGS.format(
                name=name,
                store=self.store_address,
                grace=grace,
                first_start=first_start,
                **self.settings[name],
            )
            + self.extra_settings
        )
        log = open(self.directory / f"{name}.log", "ab")
        self.daemons[name] = subprocess.Popen(
            [sys.executable, "-m", "mulberrydock", "serve"],
            env=dict(os.environ, **{SETTINGS_VARIABLE: str(path)}),
            stdout=log,
            stderr=subprocess.STDOUT,
            pass_fds=port_locks(),
        )
        log.close()
        if self.max_descriptors is not None:
            limits = (self.max_descriptors, self.max_descriptors)
            resource.prlimit(self.daemons[name].pid, resource.RLIMIT_NOFILE, limits)
        return name

    def is_ready(self, name="entry-1"):
        """Return whether the daemon reports that it is ready."""
        try:
            return self.get(self.settings[name]["ready"], "/ready")[0] == 200
        except OSError:
            return False

    def wait_ready(self, name="entry-1", instances=()):
        """Wait until a daemon is ready and logged ``instances``, by default all."""
        wait_until(lambda: self.is_ready(name))
        for instance in instances or self.engines:
            wait_until(lambda: self._knows(name, instance))

    def _knows(self, name, instance):
        """Return whether a daemon has logged an incarnation of ``instance``."""
        log = self.log(name)
        return any(f'"instance":"{instance}{end}' in log for end in '"@')

    def log(self, name="entry-1"):
        """Return the daemon's log so far, without a line that is being written."""
        text = (self.directory / f"{name}.log").read_text()
        return text[: text.rfind("\n") + 1]

    def log_records(self, event, name="entry-1"):
        """Return the daemon's log records of one event."""
        records = []
        for line in self.log(name).splitlines():
            try:
                record = json.loads(line)
            except ValueError:
                continue
            if record.get("event") == event:
                records.append(record)
        return records

    def get(self, port, path):
        """Send one GET request; return (status, body)."""
        connection = http.client.HTTPConnection("127.0.0.1", port, timeout=10)
        connection.request("GET", path)
        response = connection.getresponse()
        body = response.read()
        connection.close()
        return response.status, body

    def connect(self, name="entry-1"):
        """Open a client connection to the daemon's front."""
        port = self.settings[name]["front"]
        return http.client.HTTPConnection("127.0.0.1", port, timeout=15)

    def request(self, prefix, request_id, connection=None, name="entry-1", **headers):
        """Send one request and read the response.

        :returns: the response, with the body that arrived in ``content`` and in
            ``complete`` whether that is the complete body.
        """
        own_connection = connection is None
        connection = connection or self.connect(name)
        send(connection, prefix, request_id, **headers)
        response = connection.getresponse()
        try:
            response.content = response.read()
            response.complete = True
        except (http.client.IncompleteRead, ConnectionError) as error:
            response.content = getattr(error, "partial", b"")
            response.complete = False
        if own_connection:
            connection.close()
        return response

    def stop(self):
        """Kill the daemons that this fleet started, then stop the stand-ins."""
        for process in self.daemons.values():
            if process.poll() is None:
                process.kill()
            process.wait()
        self.call_on_loop(self._close_standins)
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join(10)

    def _close_standins(self):
        """Release the ports of the stand-ins, which tests of this process share."""
        self.store_server.stop()
        for engine in self.engines.values():
            engine.stop()
            for reader in list(engine.readers):
                reader.close()


def send(connection, prefix, request_id, body=b"prompt", **headers):
    """Send one client request on an open connection."""
    fields = {
        "Host": HOST,
        wire.ATTEMPT_ID: request_id,
        wire.DEADLINE: "3000",
        wire.TOKEN_COUNTS: "100,10",
        wire.PROMPT_PREFIX: "aa:50,bb:50",
    }
    fields.update({k.replace("_", "-"): v for k, v in headers.items()})
    connection.request("POST", f"{prefix}x?q=1", body, fields)


def whole_events(stream):
    """Return a stream's bytes without the event at its end that is incomplete."""
    return stream[: stream.rfind(b"\n\n") + 2]


def event_versions(stream):
    """Return the versions of the instances that made the events in a stream's bytes."""
    prefix = b"version: "
    lines = stream.split(b"\n")
    return {line.removeprefix(prefix) for line in lines if line.startswith(prefix)}


def event_ids(stream):
    """Return the ids of the events in a stream's bytes."""
    return [int(line[3:]) for line in stream.split(b"\n") if line.startswith(b"id:")]
