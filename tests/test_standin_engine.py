"""The stand-in engine of the product's own front, in this process."""

import asyncio
import json
import random
import time

from mulberrydock.fleet import free_ports
from mulberrydock.standin.engine import EngineConfig, make_app

CLIENTS = 200
#: Range of the random time after which a client closes its connection.
STAY_SECONDS = (0.0, 0.05)
CANCEL_TIMEOUT_SECONDS = 10.0


async def leave_early(port, rng):
    """Send one streamed request and close the connection, perhaps in its stream."""
    body = {"model": "m", "prompt": "x", "max_tokens": 1500, "stream": True}
    payload = json.dumps(body).encode()
    _, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(
        b"POST /v1/completions HTTP/1.1\r\nHost: engine\r\n"
        b"Content-Length: %d\r\n\r\n" % len(payload) + payload
    )
    await asyncio.sleep(rng.uniform(*STAY_SECONDS))
    writer.transport.abort()


# Guards against a run that goes on after its client has left, when the engine notices
# that by writing an event: the request ended as if it were complete.
def test_run_is_cancelled_whenever_its_client_leaves():
    async def run():
        app = make_app(EngineConfig("e1", checks_fencing=True))
        state = app.engine_state
        state.model, state.batch.role = "m", "both"
        (port,) = free_ports(1)
        app.listen(port, address="127.0.0.1")
        batch = asyncio.ensure_future(state.batch.run(time.monotonic))
        rng = random.Random(1)
        for _ in range(CLIENTS):
            await leave_early(port, rng)
        end = time.monotonic() + CANCEL_TIMEOUT_SECONDS
        while state.batch.running and time.monotonic() < end:
            await asyncio.sleep(0.05)
        batch.cancel()
        return state.batch.counts

    counts = asyncio.run(run())
    assert counts["started"] == counts["cancelled"] > 0
