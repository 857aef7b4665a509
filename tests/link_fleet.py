"""A fleet in which each VM reaches each instance over a link of its own.

Each daemon reads the store through a view of its own, in which the addresses are those
of its links.
"""

import base64
import contextlib
import http.client
import json
import threading
import time

import attrs
import tornado.httpserver
from platform_fleet import (
    IDEMPOTENT_PATH,
    NON_IDEMPOTENT_PATH,
    RESUMABLE_PATH,
    STREAM_PATH,
    PlatformFleet,
    config,
    event_ids,
    wait_until,
)

from mulberrydock import forward_messages
from mulberrydock.fleet import free_ports
from mulberrydock.forward_messages import ForwardedRequest, PriorCalls
from mulberrydock.standin import platform_store
from mulberrydock.standin.pair_link import CUTS, PairLink

PATHS = (RESUMABLE_PATH, STREAM_PATH, IDEMPOTENT_PATH, NON_IDEMPOTENT_PATH)
#: Token counts of a prompt that decode engines prefill and of one that they don't.
TOKEN_COUNTS = ("100,10", "30000,10")
#: Instances: (id, service, stage).
INSTANCES = (
    ("p1", "llm", "prefill"),
    ("p2", "llm", "prefill"),
    ("d1", "llm", "decode"),
    ("d2", "llm", "decode"),
    ("a1", "app", ""),
    ("a2", "app", ""),
)
#: Event ids of a complete stream of the stand-ins.
STREAM_EVENT_IDS = [1, 2, 3, 4]
#: Clients of each VM, each of which sends one request after the other.
CLIENTS_PER_VM = 4


class LinkFleet(PlatformFleet):
    """``links`` maps (VM, target) to the :class:`PairLink` between them.

    ``add_proxy`` returns the address of a proxy before a VM's view of the store.
    """

    def __init__(self, directory):
        super().__init__(directory)
        self.links = {}
        self.views = {}
        self.store_servers = []
        self.add_proxy = lambda address: address

    def start(self, name="entry-1", grace=3.0):
        if name not in self.views:
            port = free_ports(1)[0]
            self.call_on_loop(self._serve_view, name, port)
            self.views[name] = self.add_store_proxy(name, f"127.0.0.1:{port}")
        self.store_address = self.views[name]
        return super().start(name, grace)

    def add_store_proxy(self, name, address):
        """Return the address at which the VM ``name`` reaches its view of the store."""
        return self.add_proxy(address)

    def _serve_view(self, name, port):
        app = platform_store.make_app(
            self.store, lambda key, value: self.view(name, key, value)
        )
        server = tornado.httpserver.HTTPServer(app)
        server.listen(port, address="127.0.0.1")
        self.store_servers.append(server)

    def view(self, name, key, value):
        """Return a record of the store as the VM ``name`` reads it."""
        if not key.startswith("servers/"):
            return value
        document = json.loads(base64.b64decode(value))
        target = key.removeprefix("servers/")
        document["address"] = self.link(name, target, document["address"])
        return base64.b64encode(json.dumps(document).encode()).decode()

    def link(self, name, target, address):
        """Return the address of a VM's link to ``target``, which is at ``address``."""
        link = self.links.get((name, target))
        if link is None:
            link = PairLink(self.link_address(name, address), address)
            link.open()
            self.links[name, target] = link
        host, port = link.listen_address
        return f"{host}:{port}"

    def link_address(self, name, address):
        """Return the address of the link from a VM to what is at ``address``."""
        return f"127.0.0.1:{free_ports(1)[0]}"

    def cut(self, names, cut, targets=None):
        """Cut the links of VMs to ``targets``, by default all instances."""
        links = self.links_of(names, targets or self.engines)
        self.call_on_loop(lambda: [link.cut(cut) for link in links])

    def restore(self, names=None, targets=None):
        """Restore the links of VMs to ``targets``, by default all links."""
        for link in self.links_of(names, targets):
            self.call_on_loop(link.restore)

    def links_of(self, names=None, targets=None):
        """Return the links of VMs to ``targets``, by default of all VMs to all."""
        return [
            link
            for (name, target), link in list(self.links.items())
            if (names is None or name in names)
            and (targets is None or target in targets)
        ]

    def _close_standins(self):
        for server in self.store_servers:
            server.stop()
        for link in self.links.values():
            link.release()
        super()._close_standins()


@contextlib.contextmanager
def started_fleet(directory, names, instances=INSTANCES):
    """Start a fleet of the named VMs and stop it at the end.

    :param instances: (id, service, stage) of each, and a dict of options if any.
    """
    fleet = LinkFleet(directory)
    fleet.write("op/config", config(3))
    for instance, service, stage, *options in instances:
        fleet.add_instance(instance, service, stage, **dict(*options))
    for name in names:
        fleet.start(name)
    try:
        for name in names:
            wait_for_vm(fleet, name, names)
        yield fleet
    finally:
        fleet.stop()


def wait_for_vm(fleet, name, names):
    """Wait until a VM is ready and knows the instances and the named VMs."""
    fleet.wait_ready(name)
    wait_until(
        lambda: {row["peer"] for row in fleet.log_records("peer seen", name)}
        >= set(names)
    )


def lose_links(fleet, names, cut="silent"):
    """Cut the links of VMs to all instances; wait until they have noticed."""
    services = {engine.service for engine in fleet.engines.values()}
    with Load(fleet, names):
        fleet.cut(names, CUTS[cut])
        for name in names:
            wait_until(lambda: lost_services(fleet, name) == services)


def lost_services(fleet, name):
    """Return the services to which a VM has lost its links, by its log."""
    lost = set()
    for line in fleet.log(name).splitlines():
        row = json.loads(line) if line.startswith("{") else {}
        if row.get("event") == "links lost":
            lost.add(row["service"])
        if row.get("event") == "links back":
            lost.discard(row["service"])
    return lost


def forward(fleet, name, request, key):
    """Forward a request to a VM as a peer that signs with ``key``.

    :returns: the connection and the response.
    """
    body = forward_messages.encode(
        ForwardedRequest(request, 0, PriorCalls(), "entry-9"), 0.0
    )
    signature = {forward_messages.SIGNATURE_HEADER: forward_messages.sign(key, body)}
    port = fleet.settings[name]["peer"]
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=10)
    connection.request("POST", forward_messages.FORWARD_PATH, body, signature)
    return connection, connection.getresponse()


def is_served(response):
    """Return whether a client got a whole response of an instance."""
    if response.status != 200 or not response.complete:
        return False
    ids = event_ids(response.content)
    return not ids or ids == STREAM_EVENT_IDS


@attrs.define(frozen=True)
class Result:
    """One request of a :class:`Load`; ``status`` is 0 without a response."""

    vm: str
    id: str
    path: str
    sent_at: float
    status: int
    served: bool


class Load:
    """Clients that send requests of each kind to the named VMs until stopped.

    ``results`` lists a :class:`Result` for each.
    """

    def __init__(self, fleet, names):
        self.fleet = fleet
        self.results = []
        self.stopped = threading.Event()
        self.threads = [
            threading.Thread(target=self._run, args=(name, number), daemon=True)
            for name in names
            for number in range(CLIENTS_PER_VM)
        ]

    def __enter__(self):
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(self, *exc_info):
        self.stopped.set()
        for thread in self.threads:
            thread.join(20)

    def _run(self, name, number):
        count = 0
        while not self.stopped.wait(0.02):
            path = PATHS[(count + number) % len(PATHS)]
            tokens = TOKEN_COUNTS[count // len(PATHS) % len(TOKEN_COUNTS)]
            self.results.append(self._send(name, f"{number}-{count}", path, tokens))
            count += 1

    def _send(self, name, number, path, tokens):
        request_id = f"{name}/{number}/{id(self)}"
        headers = {"X-Mulberrydock-Token-Counts": tokens}
        sent_at, status, served = time.monotonic(), 0, False
        try:
            response = self.fleet.request(path, request_id, name=name, **headers)
            status, served = response.status, is_served(response)
        except Exception:  # http.client raises undocumented exceptions
            pass
        return Result(name, request_id, path, sent_at, status, served)

    def served_share(self, name, since):
        """Return the share of a VM's requests sent from ``since`` on that were served.

        It is 0 if none were sent.
        """
        served = [
            result.served
            for result in self.results
            if result.vm == name and result.sent_at >= since
        ]
        return sum(served) / max(1, len(served))
