"""A relay before an instance that answers by a script, in the test's event loop."""

import abc
import asyncio
import json
import time

import attrs
from platform_fleet import HOST, config
from test_budget import TIMING

from mulberrydock.connections import BufferedResponse
from mulberrydock.exceptions import ResultCode, UpstreamError
from mulberrydock.fleet_view import FleetView
from mulberrydock.incarnation_check import IncarnationCheck
from mulberrydock.instances import InstanceRecord, Stage
from mulberrydock.metrics import ServeMetrics
from mulberrydock.platform import PlatformWire, documents, wire
from mulberrydock.relay import Relay
from mulberrydock.request import Request, SendOptions

STARTED_AT_MS = 1_800_000_000_000


def response(body, status="200 OK", **headers):
    """Return a response as bytes; underscores in header names become hyphens."""
    fields = {name.replace("_", "-"): value for name, value in headers.items()}
    lines = [f"{name}: {value}" for name, value in fields.items()]
    head = [f"HTTP/1.1 {status}", *lines, f"Content-Length: {len(body)}"]
    return "\r\n".join([*head, "", body]).encode()


def request_id(head):
    """Return the id that a request names, empty for a call without one."""
    _, _, rest = head.partition(f"{wire.ATTEMPT_ID}: ")
    return rest.split()[0] if rest else ""


@attrs.define
class ScriptedServer(abc.ABC):
    """A server that answers by a script; ``connections`` counts its connections."""

    connections: int = attrs.field(default=0, init=False)
    server: object = attrs.field(default=None, init=False)

    @abc.abstractmethod
    def connect(self):
        """Return what answers on a new connection.

        :returns: a function of a request's head, which returns the bytes of the answer,
            or None to close the connection.
        """

    async def start(self):
        """Listen; return the address."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()
        return f"{host}:{port}"

    async def _serve(self, reader, writer):
        answer = self.connect()
        self.connections += 1
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                data = answer(head)
                if data is None:
                    break
                writer.write(data)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            # Also when the event loop ends: it can't be closed later.
            writer.close()


class Sender:
    """A relay that sends requests to a peer whose record it has read."""

    def __init__(self, address, started_at_ms=STARTED_AT_MS):
        self.view = FleetView("dc1", TIMING, lambda: 1, lambda instance_id: None)
        text = json.dumps(config(3))
        self.view.routes.accept(documents.read_config("op/config", text))
        self.relay = Relay(self.view, PlatformWire(), ServeMetrics())
        record = InstanceRecord(
            "e1", "llm", address, "dc1", 4, False, Stage.DECODE, started_at_ms
        )
        self.view.instances.put(record, time.monotonic())
        (self.instance,) = self.view.instances.serving("llm")

    async def send(self, request_id, is_required=True):
        """Send a request.

        :returns: its :class:`ResultCode`, and whether the incarnation was confirmed.
        """
        now = time.monotonic()
        request = Request(request_id, "GET", "/", HOST, [], b"", now, now + 5)
        request.headers.append((wire.ATTEMPT_ID, request_id))
        check = IncarnationCheck.from_send(
            self.relay, self.instance, request, is_required
        )
        options, code = SendOptions("e1", 5000), ResultCode.OK
        try:
            await self.relay.exchange(
                self.instance, request, options, BufferedResponse(), check
            )
        except UpstreamError as error:
            code = error.code
        return code, check is None or await check.result(1.0)


def run_before(server, scenario, started_at_ms):
    """Run ``scenario(sender, server)`` before an instance with that start."""

    async def go():
        sender = Sender(await server.start(), started_at_ms)
        try:
            return await scenario(sender, server)
        finally:
            sender.relay.forget(sender.instance.id)
            server.server.close()

    return asyncio.run(go())
