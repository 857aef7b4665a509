"""Which response is taken for that of a call of the system's own to an engine."""

import asyncio
import json

import attrs
import pytest
from scripted_server import ScriptedServer, request_id, response, run_before

from mulberrydock.platform import PlatformWire, wire
from mulberrydock.request import UpstreamCall

MOVE = UpstreamCall("POST", "/kv-move", {"Host": "e1", "Content-Length": "0"})
LATE = response("x", **{wire.ATTEMPT_ID: "earlier", wire.SIGNATURE: "s"})


def handle(name):
    return response(json.dumps({"kv_handle": name, "created": 3}))


@attrs.define
class Engine(ScriptedServer):
    """Answers the calls on all connections by ``answers``, in order.

    Any other request is answered with its id.

    :param repeats: whether a copy of a call's response comes before the next one on its
        connection.
    """

    answers: list
    repeats: bool = False

    def connect(self):
        copies = []

        def answer(head):
            name = request_id(head)
            if name:
                return response("ok", **{wire.ATTEMPT_ID: name})
            data = self.answers.pop(0)
            sent = b"".join([*copies, data])
            copies[:] = [data] if self.repeats else []
            return sent

        return answer


def run(answers, scenario, repeats=False):
    """Run ``scenario(sender, engine)`` before an engine that states no start."""
    run_before(Engine(answers, repeats), scenario, started_at_ms=None)


async def move(sender, is_certain=True):
    """Make a call that moves a run; return the name of the handle in its response."""
    answer = await sender.relay.call(sender.instance, MOVE, 1.0, is_certain)
    found = PlatformWire().read_move("e1", answer.body)
    return found and found.id


# Guards against a stream that goes on from another one's memory: a late response to a
# request was taken for that of a move, and the real one for that of the next move.
@pytest.mark.parametrize("is_certain", [True, False])
def test_late_response_to_a_request_is_not_that_of_a_call(is_certain):
    async def scenario(sender, engine):
        await sender.send("r")
        assert await move(sender, is_certain) == "h1"
        assert await move(sender, is_certain) == "h2"

    run([LATE + handle("h1"), LATE + LATE + handle("h2")], scenario)


# Guards against the same where the late response is a copy of another move's, which no
# id tells from the real one.
def test_copy_of_a_move_is_not_the_response_to_the_next_move():
    async def scenario(sender, engine):
        assert await move(sender) == "h1"
        assert await move(sender) == "h2"

    run([handle("h1"), handle("h2")], scenario, repeats=True)


# Guards against a new connection, which is paid for, where none is needed.
def test_move_uses_a_connection_on_which_no_call_was_made():
    async def scenario(sender, engine):
        for number in (1, 2):
            await asyncio.gather(sender.send("a"), sender.send("b"))
            assert await move(sender) == f"h{number}"
        assert engine.connections == 2

    run([handle("h1"), handle("h2")], scenario)


# Guards against a move that fails as all connections of this VM are idle after calls.
def test_move_replaces_an_idle_connection_at_the_limit():
    async def scenario(sender, engine):
        pool = sender.relay.connection_pool(sender.instance)
        sender.relay.connection_pool = lambda instance: pool
        pool.limit = 1
        assert [await move(sender), await move(sender)] == ["h1", "h2"]
        assert (engine.connections, pool.open) == (2, 1)

    run([handle("h1"), handle("h2")], scenario)
