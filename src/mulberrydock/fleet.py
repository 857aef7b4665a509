"""Start a deployment's whole local fleet as separate processes on loopback.

Used by the demo command and the integration tests: the store, VM list,
engines, services, two controllers and every entry, each its own process.
This is a harness for one machine; on a real fleet each daemon is started
by the VM's own service manager.
"""

import fcntl
import functools
import itertools
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request

import attrs

from .settings import parse_settings

#: Seconds to wait for the fleet to answer before giving up.
START_TIMEOUT_SECONDS = 30.0
#: Where the kernel says which ports outgoing connections take (Linux).
EPHEMERAL_RANGE = pathlib.Path("/proc/sys/net/ipv4/ip_local_port_range")
#: Ports from here to the ephemeral range are for test fleets; the embedded
#: deployments listen below.
LOWEST_TEST_PORT = 19000
#: Ports of one process that starts fleets: several of the largest it has at once.
BLOCK_PORTS = 512


@attrs.define
class Fleet:
    """The processes of one local fleet, by name."""

    settings_path: str
    processes: dict = attrs.field(factory=dict)
    commands: dict = attrs.field(factory=dict)

    def start(self, name, *args):
        """Start ``mulberrydock ARGS`` as the process called ``name``."""
        self.commands[name] = args
        env = dict(os.environ, PYTHONUNBUFFERED="1")
        log = (
            open(os.devnull, "wb")
            if not os.environ.get("MULBERRYDOCK_FLEET_LOGS")
            else None
        )
        self.processes[name] = subprocess.Popen(
            [sys.executable, "-m", "mulberrydock", *args],
            env=env,
            stdout=log,
            stderr=log,
        )
        return self.processes[name]

    def restart(self, name):
        """Start the ended process called ``name`` again with its arguments."""
        return self.start(name, *self.commands[name])

    def stop(self, names, timeout=30.0):
        """Send SIGTERM to every process of ``names`` and wait for them to exit."""
        processes = [self.processes.pop(name) for name in names]
        for process in processes:
            process.terminate()
        for process in processes:
            try:
                process.wait(timeout)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()

    def stop_all(self):
        """Stop every process, entries first so they drain against a live store."""
        self.stop([n for n in self.processes if n.startswith("entry")])
        self.stop(list(self.processes))


def start_fleet(settings, settings_path, controllers=2, policy="", planner=""):
    """Start every process of ``settings``; return the :class:`Fleet`."""
    fleet = Fleet(settings_path)
    path = ["--settings", settings_path]
    fleet.start("store", "standin", "store", *path)
    fleet.start("vm-list", "standin", "vmlist", *path)
    for engine in settings.engines:
        fleet.start(engine.name, "standin", "engine", engine.name, *path)
    for service in settings.services:
        fleet.start(service.name, "standin", "service", service.name, *path)
    wait_for(settings.store.address, "/v1/range?prefix=x")
    for index in range(controllers):
        name = f"control-{index + 1}"
        fleet.start(name, "control", name, *path, "--planner", planner)
    for entry in settings.entries:
        fleet.start(entry.name, "entry", entry.name, *path, "--policy", policy)
    return fleet


def wait_ready(settings):
    """Wait until every engine has its model and every entry a configuration."""
    for engine in settings.engines:
        wait_for(
            engine.address, "/v1/state", check=lambda b: json.loads(b)["available"]
        )
    for entry in settings.entries:
        wait_for(
            entry.address,
            "/v1/health",
            check=lambda b: json.loads(b)["config_version"] > 0,
        )


def wait_for(address, path, timeout=START_TIMEOUT_SECONDS, check=None):
    """Poll ``http://address/path`` until it answers 200 (and ``check(body)``)."""
    deadline = time.monotonic() + timeout
    while time.monotonic() < deadline:
        try:
            with urllib.request.urlopen(f"http://{address}{path}", timeout=1) as r:
                body = r.read()
                if check is None or check(body):
                    return body
        except (urllib.error.URLError, OSError):
            pass
        time.sleep(0.1)
    raise TimeoutError(f"{address}{path} did not answer in {timeout} s")


CLASSES = """
[[classes]]
name = "letter"
rank = 0
deadline_seconds = 20.0

[[classes]]
name = "status"
rank = 1
deadline_seconds = 3.0
"""


class PortBlock:
    """Ports that no other process on this machine draws while this one lives.

    A port that is drawn is bound only later, by another process; two runs that drew
    from the same ports would now and then draw the same one, and a daemon of one of
    them couldn't listen. A file lock, which ends with its process, keeps them apart.
    """

    def __init__(self):
        lowest_ephemeral = int(EPHEMERAL_RANGE.read_text().split()[0])
        blocks = (lowest_ephemeral - LOWEST_TEST_PORT) // BLOCK_PORTS
        for index in random.sample(range(blocks), blocks):
            path = pathlib.Path(tempfile.gettempdir(), f"mulberrydock-ports-{index}")
            self.lock = open(path, "ab")
            try:
                fcntl.flock(self.lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except BlockingIOError:
                self.lock.close()
                continue
            first = LOWEST_TEST_PORT + index * BLOCK_PORTS
            # Round and round, so that what was drawn a moment ago comes last.
            self.ports = itertools.cycle(range(first, first + BLOCK_PORTS))
            return
        raise OSError("every block of ports below the ephemeral range is in use")

    def draw(self, count):
        """Return ``count`` distinct ports to which nothing is bound.

        :raises OSError: when the block has fewer.
        """
        ports = []
        for port in itertools.islice(self.ports, BLOCK_PORTS):
            if _is_free(port):
                ports.append(port)
            if len(ports) == count:
                return ports
        raise OSError("no free ports left in this process's block")


def _is_free(port):
    with socket.socket() as probe:
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


@functools.cache
def _port_block():
    return PortBlock()


def free_ports(count):
    """Return ``count`` distinct free loopback ports below the ephemeral range.

    A port of the ephemeral range that is free now may be taken, before its
    process listens, as the source port of any outgoing connection; the
    process then dies with "address in use", or a caller connects to itself.

    :raises OSError: when there are none left.
    """
    return _port_block().draw(count)


def settings_text(ports, engines, entries, engine_ports):
    """Render a settings file for a fleet of ``engines`` and ``entries``."""
    lines = [
        'data_centres = ["dc-a", "dc-b"]',
        '[deployment]\nname = "lagos"\nentry_lease_ttl_seconds = 2.0'
        "\nstream_idle_timeout_seconds = 2.0\ndrain_timeout_seconds = 20.0",
        f'[store]\naddress = "127.0.0.1:{ports["store"]}"',
        f'[vm_list]\naddress = "127.0.0.1:{ports["vmlist"]}"',
        "[control]\nlease_ttl_seconds = 1.5\nreconcile_interval_seconds = 0.2",
        '[roles]\nplanner = "mix"',
    ]
    for index, port in enumerate(engine_ports[:engines]):
        lines.append(
            f'[[engines]]\nname = "engine-{index + 1}"\naddress = "127.0.0.1:{port}"'
            f'\ndata_centre = "dc-a"\nchecks_fencing = {str(index % 2 == 0).lower()}'
            "\ndecode_tokens_per_second = 200.0"
        )
    lines.append(
        f'[[services]]\nname = "pass-registry-1"\nkind = "pass-registry"'
        f'\naddress = "127.0.0.1:{ports["service"]}"\ndata_centre = "dc-b"'
        '\nnon_idempotent_routes = ["renewals"]'
    )
    for index in range(entries):
        lines.append(
            f'[[entries]]\nname = "entry-{index + 1}"'
            f'\naddress = "127.0.0.1:{ports["entries"][index]}"\ndata_centre = "dc-b"'
        )
    lines.append(CLASSES)
    lines.append("[declared]\nleaving = []")
    for index in range(engines):
        lines.append(
            f'[[declared.engines]]\nengine = "engine-{index + 1}"'
            '\nmodel = "pass-letters-7b"'
        )
    return "\n".join(lines) + "\n"


class LocalFleet:
    """Processes of a test fleet, their settings and the proxies' controls."""

    def __init__(self, tmp_path, engines=2, entries=2):
        tmp_path = pathlib.Path(tmp_path)
        ports = free_ports(4 + 3 * engines + entries)
        self.ports = {
            "store": ports[0],
            "vmlist": ports[1],
            "service": ports[2],
            "entries": ports[3 : 3 + entries],
        }
        rest = ports[3 + entries :]
        self.engine_ports = rest[:engines]
        self.proxy_ports = rest[engines : 2 * engines]
        self.control_ports = rest[2 * engines : 3 * engines]
        self.upstream_path = tmp_path / "engines.toml"
        self.upstream_path.write_text(
            settings_text(self.ports, engines, entries, self.engine_ports)
        )
        self.path = tmp_path / "settings.toml"
        self.path.write_text(
            settings_text(self.ports, engines, entries, self.proxy_ports)
        )
        self.settings = parse_settings(self.path.read_text())
        self.fleet = Fleet(str(self.path))

    def start(self, controllers=1):
        """Start fakes, proxies, controllers and entries; wait until serving."""
        path = ["--settings", str(self.path)]
        self.fleet.start("store", "standin", "store", *path)
        self.fleet.start("vm-list", "standin", "vmlist", "--lag", "0.5", *path)
        self.fleet.start("service", "standin", "service", "pass-registry-1", *path)
        for index, engine in enumerate(self.settings.engines):
            self.fleet.start(
                engine.name,
                "standin",
                "engine",
                engine.name,
                "--settings",
                str(self.upstream_path),
            )
            self.fleet.start(
                f"proxy-{index + 1}",
                "standin",
                "proxy",
                engine.address,
                f"127.0.0.1:{self.engine_ports[index]}",
                f"127.0.0.1:{self.control_ports[index]}",
            )
        wait_for(self.settings.store.address, "/v1/range?prefix=x")
        for index in range(controllers):
            self.fleet.start(
                f"control-{index + 1}", "control", f"control-{index + 1}", *path
            )
        for entry in self.settings.entries:
            self.fleet.start(entry.name, "entry", entry.name, *path)
        wait_ready(self.settings)
        return self

    def fault(self, index, mode, delay_seconds=0.0):
        """Set the fault mode of engine ``index``'s proxy."""
        body = json.dumps({"mode": mode, "delay_seconds": delay_seconds}).encode()
        request = urllib.request.Request(
            f"http://127.0.0.1:{self.control_ports[index]}/faults", data=body
        )
        with urllib.request.urlopen(request, timeout=2) as response:
            return json.loads(response.read())

    def ctl(self, *args):
        """Run ``mulberrydock ctl ARGS`` against this fleet; return the process."""
        return subprocess.run(
            [
                sys.executable,
                "-m",
                "mulberrydock",
                "ctl",
                *args,
                "--settings",
                str(self.path),
            ],
            capture_output=True,
            text=True,
            timeout=30,
        )

    def get(self, address, path):
        """GET ``http://address/path`` and return the parsed JSON body."""
        with urllib.request.urlopen(f"http://{address}{path}", timeout=5) as r:
            return json.loads(r.read())

    def post(self, address, path, document):
        """POST ``document`` as JSON and return the parsed JSON body."""
        request = urllib.request.Request(
            f"http://{address}{path}", data=json.dumps(document).encode()
        )
        with urllib.request.urlopen(request, timeout=5) as r:
            return json.loads(r.read())

    def engine_state(self, index):
        """The engine's own ``/v1/state``, read past its proxy."""
        return self.get(f"127.0.0.1:{self.engine_ports[index]}", "/v1/state")

    def store_faults(self, **faults):
        """Set the fake store's faults (outage, delay_seconds, lose_answers)."""
        return self.post(self.settings.store.address, "/v1/faults", faults)

    def executions(self):
        """How many times the service ran each idempotency key."""
        return self.get(f"127.0.0.1:{self.ports['service']}", "/v1/executions")[
            "executions"
        ]

    def signal(self, name, signum):
        """Send ``signum`` to the process called ``name``."""
        self.fleet.processes[name].send_signal(signum)

    def stop(self):
        """Stop every process; resume any left paused so it can exit."""
        for process in self.fleet.processes.values():
            process.send_signal(signal.SIGCONT)
        self.fleet.stop_all()
