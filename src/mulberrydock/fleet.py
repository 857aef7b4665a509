"""Starts a whole fleet as separate processes on loopback.

Used by the demo command and the integration tests: the store, the VM list, each
engine, each service, two controllers and each entry are processes of their own.
This is a harness for a single machine; in a real fleet, each VM's service manager
starts its daemon.
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

#: Seconds to wait for each process to answer before giving up.
START_TIMEOUT_SECONDS = 30.0
#: File with the range of ports that outgoing connections use (Linux).
EPHEMERAL_RANGE = pathlib.Path("/proc/sys/net/ipv4/ip_local_port_range")
#: Test fleets use the ports from here to the ephemeral range; the deployments in this
#: package use ports below.
MIN_TEST_PORT = 19000
#: Ports of a process that starts fleets: enough for several of the largest at once.
PORTS_PER_BLOCK = 512


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
            pass_fds=port_locks(),
        )
        return self.processes[name]

    def restart(self, name):
        """Start the process called ``name`` again, with the same arguments."""
        return self.start(name, *self.commands[name])

    def stop(self, names, timeout=30.0):
        """Send SIGTERM to the processes of ``names`` and wait for them to exit.

        :param timeout: seconds for each, after which it is killed.
        """
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
        """Stop every process, entries first, so that they drain with a live store."""
        self.stop([n for n in self.processes if n.startswith("entry")])
        self.stop(list(self.processes))


def start_fleet(settings, settings_path, controllers=2, policy="", planner=""):
    """Start every process of ``settings``; return the :class:`Fleet`.

    :raises TimeoutError: when the store doesn't answer in time.
    """
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
    """Wait until every engine is available and every entry has a configuration.

    :raises TimeoutError: when one of them takes too long.
    """
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
    """Poll ``http://address/path`` until it answers 200; return the body.

    :param timeout: seconds to wait.
    :param check: called with the body; must be true as well.
    :raises TimeoutError: when that takes longer.
    """
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
    """Ports that no other process on this machine allocates while this one runs.

    An allocated port is bound only later, by another process; two test runs that used
    the same ports would sometimes allocate the same one, and a daemon of one of them
    couldn't listen. So each run locks a block of ports: it binds the first one and
    locks a file. Both locks end with the last process that holds them, so a run passes
    them on to the processes that it starts: some may outlive it.
    """

    def __init__(self):
        lowest_ephemeral = int(EPHEMERAL_RANGE.read_text().split()[0])
        blocks = (lowest_ephemeral - MIN_TEST_PORT) // PORTS_PER_BLOCK
        for index in random.sample(range(blocks), blocks):
            first = MIN_TEST_PORT + index * PORTS_PER_BLOCK
            self.locks = _lock_port(first), _lock_file(index)
            if all(self.locks):
                # Cyclic, so that the most recently allocated ports are reused last.
                ports = range(first + 1, first + PORTS_PER_BLOCK)
                self.ports = itertools.cycle(ports)
                return
            for lock in filter(None, self.locks):
                lock.close()
        raise OSError("every block of ports below the ephemeral range is in use")

    def allocate(self, count):
        """Return ``count`` distinct ports that aren't bound.

        :raises OSError: when the block has fewer.
        """
        ports = []
        for port in itertools.islice(self.ports, PORTS_PER_BLOCK - 1):
            if _is_free(port):
                ports.append(port)
            if len(ports) == count:
                return ports
        raise OSError("no free ports left in this process's block")


def _lock_port(port):
    """Return a socket bound to a loopback port, None if it is in use.

    Unlike a lock file, it is seen by runs with another temporary directory.
    """
    lock = socket.socket()
    try:
        lock.bind(("127.0.0.1", port))
    except OSError:
        lock.close()
        return None
    return lock


def _lock_file(index):
    """Return the open lock file of a block, None if another run has locked it.

    Runs of older checkouts lock nothing else.
    """
    path = pathlib.Path(tempfile.gettempdir(), f"mulberrydock-ports-{index}")
    lock = open(path, "ab")
    try:
        fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError:
        lock.close()
        return None
    return lock


def _is_free(port):
    lock = _lock_port(port)
    if lock is None:
        return False
    lock.close()
    return True


@functools.cache
def _port_block():
    return PortBlock()


def free_ports(count):
    """Return ``count`` distinct free loopback ports below the ephemeral range.

    A free port of the ephemeral range may become the source port of any outgoing
    connection before its process listens; the process then fails with "address in
    use", or a client connects to itself.

    :raises OSError: when too few are left.
    """
    return _port_block().allocate(count)


def port_locks():
    """Return the descriptors of the locks of this run's block of ports."""
    return tuple(lock.fileno() for lock in _port_block().locks)


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
    """A test fleet: its processes, settings and fault proxies before the engines.

    :param tmp_path: directory for the settings files.
    :param engines: number of engines; likewise ``entries``.
    """

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
        """Start stand-ins, proxies, controllers and entries; wait until they serve."""
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
        """Return the engine's ``/v1/state``, read directly rather than by its proxy."""
        return self.get(f"127.0.0.1:{self.engine_ports[index]}", "/v1/state")

    def store_faults(self, **faults):
        """Set the stand-in store's faults (outage, delay_seconds, lose_answers)."""
        return self.post(self.settings.store.address, "/v1/faults", faults)

    def executions(self):
        """Return how many times the service executed each idempotency key."""
        return self.get(f"127.0.0.1:{self.ports['service']}", "/v1/executions")[
            "executions"
        ]

    def signal(self, name, signum):
        """Send ``signum`` to the process called ``name``."""
        self.fleet.processes[name].send_signal(signum)

    def stop(self):
        """Stop every process, after resuming those that are paused."""
        for process in self.fleet.processes.values():
            process.send_signal(signal.SIGCONT)
        self.fleet.stop_all()
