"""Streams whose events a listener refuses, read over a real connection."""

import asyncio

import attrs
import pytest
from scripted_server import STARTED_AT_MS, ScriptedServer, run_before
from test_endless_responses import Sink, request

from mulberrydock.exceptions import ConnectionCut, UpstreamError
from mulberrydock.platform import wire
from mulberrydock.request import SendOptions
from mulberrydock.sends import ClientStream, StreamListener
from mulberrydock.sse import EventSplitter

EVENTS = b"id: 2\ndata: x\n\nid: 1\ndata: x\n\n"
HEAD = f"HTTP/1.1 200 OK\r\n{wire.ATTEMPT_ID}: r\r\n{wire.SIGNATURE}: s\r\n"


class Server(ScriptedServer):
    """Sends two events in the wrong order."""

    def connect(self):
        length = f"Content-Length: {len(EVENTS)}\r\n\r\n"
        return lambda head: (HEAD + length).encode() + EVENTS


@attrs.define
class SlowCheck:
    """A check of the engine, for which its first event waits."""

    async def result(self, timeout):
        await asyncio.sleep(0)
        return True


# Guards against a wrong event that is taken for a connection which the engine has cut:
# the engine would be asked whether it has crashed.
@pytest.mark.parametrize("check", [None, SlowCheck()], ids=["at once", "checked"])
def test_error_of_a_listener_keeps_its_type(check):
    async def scenario(sender, server):
        relay = sender.relay
        stream = ClientStream(relay.wire, Sink(), EventSplitter())
        listener = StreamListener(relay.wire, stream)
        listener.incarnation_check = check
        options = SendOptions("e1", 5000)
        with pytest.raises(UpstreamError, match="event 1 after 2") as error:
            await relay.exchange(sender.instance, request(), options, listener)
        assert not isinstance(error.value, ConnectionCut)

    run_before(Server(), scenario, STARTED_AT_MS)
