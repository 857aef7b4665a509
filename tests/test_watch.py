"""The prefix watch against an in-process fake store."""

import asyncio

import pytest
import tornado.httpserver

from mulberrydock.fleet import free_ports
from mulberrydock.standin import store as fake_store
from mulberrydock.store import StoreClient
from mulberrydock.watch import PrefixWatch


@pytest.mark.parametrize("before", [0, 2])
def test_first_write_after_the_watch_began_is_seen(before):
    # An entry starts before anyone has written to a new store. The first
    # configuration gets revision 1: a watch that begins after revision 1
    # never shows it, and the entry would wait for the second one.
    async def go():
        app = fake_store.make_app()
        server = tornado.httpserver.HTTPServer(app)
        (port,) = free_ports(1)
        server.listen(port, address="127.0.0.1")
        store = StoreClient(f"127.0.0.1:{port}")
        for index in range(before):
            await store.put(f"other/{index}", "x")
        seen = []
        watch = PrefixWatch(store, "config", lambda k, v, version: seen.append(version))
        assert await watch.step()
        await store.put("config", "first")
        assert await watch.step()
        server.stop()
        return seen

    assert asyncio.run(go()) == [before + 1]
