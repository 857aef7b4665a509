"""A small deployment on loopback addresses: the store, engines, and the daemons.

The daemons are processes of the project, started with the command of the deploy file.
"""

import asyncio
import contextlib
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

from . import http1
from .store import Store

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "ficu95.example"
ZONES = ("ikeja-hall", "yaba-hall", "lekki-hall")

#: Bounds of the site sctp-renewals, as its sheet states them.
SETTINGS = """
name = "{name}"
data_centre = "{zone}"
region = "lagos"
ip = "{ip}"
first_start = {first_start}

[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
directory = "{ip}:{directory}"
metrics_port = {metrics}
peer_ports = [{peer}, {peer}]

[regions]
"ikeja-hall" = "lagos"
"yaba-hall" = "lagos"
"lekki-hall" = "lagos"

[store]
address = "{store}"
least_lease_seconds = 1000e-3

[timing]
contact_seconds = 3000e-3
config_apply_seconds = 2000e-3
drain_seconds = 2000e-3
grace_seconds = 8
answer_ttl_seconds = 5
lease_seconds = 3000e-3
retry_budget_ratio = 0.2
retry_budget_window_seconds = 10
retry_budget_floor = 56
"""

#: The engine pool of the site, as its configuration states it.
ENGINE_POOL = {
    "slots": 64,
    "kv_tokens": 540686,
    "kv_token_bytes": 35136,
    "link_mbps": 1100000.0,
    "moves": True,
    "backups": True,
    "kv_hold_s": 5.0,
    "role_switch_s": 3.0,
    "models": [{"name": "m"}],
}


class CaseError(Exception):
    """The case couldn't run."""


def free_port(ip="127.0.0.1", kind=socket.SOCK_STREAM):
    with socket.socket(socket.AF_INET, kind) as sock:
        sock.bind((ip, 0))
        return sock.getsockname()[1]


def route(prefix, service, **options):
    row = {
        "name": "r-" + prefix.strip("/"),
        "host": HOST,
        "path_prefix": prefix,
        "kind": "streaming",
        "timeout_ms": 10000,
        "target_latency_ms": 600,
        "priority": 2,
        "service": service,
        "max_attempts": 2,
        "sticky_sessions": True,
        "resumable": True,
        "target_gap_ms": 300,
    }
    return row | options


def config(version, routes):
    services = [
        {
            "name": "pass-registry",
            "health_path": "/health",
            "max_connections": 110,
            "protocol": "h1",
            "tls": False,
        },
        {
            "name": "renewal-llm",
            "health_path": "/health",
            "max_connections": 370,
            "protocol": "h1",
            "tls": False,
            "engine": ENGINE_POOL,
        },
    ]
    limits = {"max_header_bytes": 16384, "max_body_bytes": 4194304}
    limits |= {"header_timeout_ms": 3000, "idle_timeout_ms": 15000}
    return {"version": version, "routes": routes, "services": services} | {
        "limits": limits
    }


class Record:
    """What a case writes to its ``record.txt``, with seconds since its start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.started = time.monotonic()

    def line(self, text):
        self.file.write(f"{time.monotonic() - self.started:8.3f}  {text}\n")
        self.file.flush()


class Fleet:
    """The store and ``count`` daemons; use it as an asynchronous context.

    The daemons' logs are in a temporary folder, which is copied to the one that the
    variable KEEP_LOGS names, if it is set.
    """

    def __init__(self, record, count=3):
        self.record = record
        self.count = count
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.store = None
        self.daemons = {}
        self.settings = {}
        self.engines = []
        self.tasks = []

    async def __aenter__(self):
        self.store = Store(f"127.0.0.1:{free_port()}")
        await self.store.start()
        return self

    async def __aexit__(self, *error):
        for process in self.daemons.values():
            if process.poll() is None:
                process.kill()
            process.wait()
        for task in self.tasks:
            task.cancel()
        for engine in self.engines:
            engine.stop()
        self.store.stop()
        kept = os.environ.get("KEEP_LOGS")
        if kept:
            shutil.copytree(self.folder, kept, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)

    def name(self, number):
        return f"front-{ZONES[(number - 1) % 3]}-{number}"

    def start_daemons(self):
        ports = {key: free_port() for key in ("front", "ready", "directory")}
        ports |= {"metrics": free_port(), "peer": free_port()}
        for number in range(1, self.count + 1):
            name = self.name(number)
            values = {"name": name, "zone": ZONES[(number - 1) % 3]}
            values |= {"ip": f"127.0.1.{number}", "first_start": "true"}
            self.settings[name] = values | ports
            self._start(name)

    def _start(self, name):
        path = self.folder / f"{name}.toml"
        path.write_text(
            SETTINGS.format(store=self.store.address, **self.settings[name])
        )
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = deploy["roles"]["entry"]["run"].split()
        kept = ("PATH", "HOME", "LANG")
        environment = {k: os.environ[k] for k in kept if k in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["MULBERRYDOCK_SETTINGS"] = str(path)
        with open(self.folder / f"{name}.log", "ab") as log:
            self.daemons[name] = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.record.line(f"{name} starts: {' '.join(command)}")

    def restart(self, name):
        """Start a daemon again, as the platform does with one that has ended."""
        self.settings[name]["first_start"] = "false"
        self._start(name)

    def log(self, name):
        return (self.folder / f"{name}.log").read_text(errors="replace")

    def front(self, name):
        return f"{self.settings[name]['ip']}:{self.settings[name]['front']}"

    async def get(self, name, page, target):
        row = self.settings[name]
        client = http1.Client(f"{row['ip']}:{row[page]}")
        try:
            await client.connect()
            client.send("GET", target, {"Host": HOST})
            return await asyncio.wait_for(client.receive(http1.Answer()), 2)
        finally:
            client.close()

    async def is_ready(self, name):
        with contextlib.suppress(OSError, asyncio.TimeoutError):
            return (await self.get(name, "ready", "/ready")).status == 200
        return False

    async def wait_ready(self, seconds=30):
        ends = time.monotonic() + seconds
        names = list(self.daemons)
        while time.monotonic() < ends:
            if all([await self.is_ready(name) for name in names]):
                seen = [f'"instance":"{e.name}' for e in self.engines]
                if all(text in self.log(n) for n in names for text in seen):
                    return
            for name, process in self.daemons.items():
                if process.poll() is not None:
                    raise CaseError(f"{name} ended: {self.log(name)[-2000:]}")
            await asyncio.sleep(0.1)
        raise CaseError("the daemons aren't ready")

    def signal(self, name, number):
        self.daemons[name].send_signal(number)
        self.record.line(f"{signal.Signals(number).name} to {name}")


def fields(request_id, tokens, output, limit_ms, **more):
    """The headers of a client's request."""
    return {
        "Host": HOST,
        "X-Mulberrydock-Attempt-Id": request_id,
        "X-Mulberrydock-Model": "m",
        "X-Mulberrydock-Token-Counts": f"{tokens},{output}",
        "X-Mulberrydock-Length-Hint": str(output),
        "X-Mulberrydock-Prompt-Prefix": f"5c1e07a2:{tokens // 2},"
        f"{request_id[:8]}:{tokens - tokens // 2}",
        "X-Mulberrydock-Deadline-Ms": str(limit_ms),
    } | more


def event_lines(body):
    """The (id, data) pairs of a stream's whole events."""
    rows = []
    for event in body[: body.rfind(b"\n\n") + 2].decode().split("\n\n"):
        lines = dict(line.split(": ", 1) for line in event.split("\n") if ": " in line)
        if "id" in lines:
            rows.append((int(lines["id"]), lines["data"]))
    return rows


def run_case(main, folder):
    """Run ``main(record, trouble)``; exit with 1 if it found a broken rule, else 0."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    if not (ROOT / "target/deps/tornado").is_dir():
        print("target/deps is missing: run the build line of deploy/system.toml")
        sys.exit(2)
    # Ends the daemons also when the script itself is stopped.
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(2))
    record = Record(pathlib.Path(folder) / "record.txt")
    record.line(f"trouble: {'yes' if trouble else 'no'}")
    try:
        broken = asyncio.run(asyncio.wait_for(main(record, trouble), 110))
    except (CaseError, OSError, asyncio.TimeoutError) as error:
        record.line(f"could not run: {error!r}")
        print(f"could not run: {error!r}")
        sys.exit(2)
    text = "RULE BROKEN" if broken else "rule held"
    record.line(text)
    print(text)
    sys.exit(1 if broken else 0)
