"""The scripted server of tests, whose connections end with its event loop."""

import gc
import sys

import pytest
from scripted_server import STARTED_AT_MS, ScriptedServer, response, run_before


class AnsweringServer(ScriptedServer):
    def connect(self):
        return lambda head: response("x")


# Guards against a connection that is collected after its event loop has ended: the
# traceback of that breaks whatever parses Python code at that moment, such as pytest.
@pytest.mark.parametrize("requests", [1, 3])
def test_connections_end_with_the_event_loop(monkeypatch, requests):
    async def scenario(sender, server):
        for number in range(requests):
            await sender.send(f"r{number}", is_required=False)

    unraisable = []
    monkeypatch.setattr(
        sys, "unraisablehook", lambda args: unraisable.append(repr(args.exc_value))
    )
    run_before(AnsweringServer(), scenario, STARTED_AT_MS)
    gc.collect()
    assert not unraisable
