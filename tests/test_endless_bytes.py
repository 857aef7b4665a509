"""What a VM holds of servers whose bytes don't end, for all calls to them together."""

import asyncio
import time
import types

import pytest
from platform_fleet import HOST, RESUMABLE_PATH
from scripted_server import Sender
from test_endless_responses import BLOCK
from tornado.httputil import HTTPHeaders

from mulberrydock.connections import MAX_CALL_BYTES, MAX_HELD_BYTES
from mulberrydock.exceptions import UpstreamError
from mulberrydock.forward_attempt import ForwardAttempt
from mulberrydock.forwarding import ForwardPlan
from mulberrydock.placement import Plan
from mulberrydock.prefill import PrefillCall
from mulberrydock.request import Prompt, Request
from mulberrydock.response_room import ResponseRoom
from mulberrydock.room.admission import CallerTime
from mulberrydock.serving import RequestLifecycle

#: Requests at once, each of which calls a server that answers without end.
REQUESTS = 50
#: Bytes that all responses of a VM may take, in these tests.
ROOM_BYTES = 2_000_000


class Held:
    """Feeds listeners a failure without end; counts what they hold together."""

    def __init__(self):
        self.listeners = []
        self.most = 0

    async def exchange(self, listener):
        self.listeners.append(listener)
        listener.on_headers(500, HTTPHeaders())
        while True:
            # All of them are fed in turns.
            await asyncio.sleep(0)
            written = listener.on_data(b"x" * BLOCK)
            held = [sum(map(len, each.chunks.chunks)) for each in self.listeners]
            self.most = max(self.most, sum(held))
            if written is not None:
                await written


def relay(held):
    """Return a relay whose calls to instances and peers are answered without end."""
    made = Sender("127.0.0.1:1").relay
    made.response_room = ResponseRoom(ROOM_BYTES)
    made.exchange = lambda engine, request, options, listener, check: held.exchange(
        listener
    )
    made.forwarding = types.SimpleNamespace(
        name="vm",
        exchange=lambda plan, data, listener: held.exchange(listener),
        avoid=lambda name, service, now: None,
        silent_at=lambda name: None,
    )
    return made


def request(number):
    now = time.monotonic()
    return Request(f"r{number}", "POST", "/", HOST, [], b"", now, now + 60, Prompt(9))


async def prefill(sender, number):
    (engine,) = sender.fleet.instances.serving("llm")
    plan = Plan(engine, engine, 9)
    with pytest.raises(UpstreamError):
        await PrefillCall(sender, request(number), "llm", plan).run(
            CallerTime(60.0, 60.0)
        )


async def forward(sender, number):
    route = sender.fleet.routes.match(HOST, RESUMABLE_PATH)
    lifecycle = RequestLifecycle(sender, request(number), route, "llm", None)
    attempt = ForwardAttempt(lifecycle, ForwardPlan("peer", None))
    assert await attempt.run() is None
    lifecycle.response_share.release()


# Guards against a VM that runs out of memory by responses which count nowhere: those to
# prefill calls, and those of a peer.
@pytest.mark.parametrize(
    "send, limit", [(prefill, MAX_CALL_BYTES), (forward, MAX_HELD_BYTES)]
)
def test_responses_to_calls_for_requests_share_the_room(send, limit):
    async def run():
        held = Held()
        sender = relay(held)
        async with asyncio.timeout(60):
            await asyncio.gather(*[send(sender, n) for n in range(REQUESTS)])
        return held.most, sender.response_room

    most, room = asyncio.run(run())
    # Each learns of the limit at its second block; one of them is always read.
    assert most <= ROOM_BYTES + REQUESTS * 2 * BLOCK + limit
    assert (room.held, room.large) == (0, {})
