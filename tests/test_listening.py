"""Stand-ins stop to listen while a child process holds their sockets."""

import asyncio
import contextlib
import os
import socket

import pytest

from mulberrydock.fleet import free_ports
from mulberrydock.standin.faultproxy import FaultProxy
from mulberrydock.standin.pair_link import CUTS, PairLink
from mulberrydock.standin.platform_engine import PlatformEngine


@contextlib.contextmanager
def forked_child():
    """Return the context of a child that hasn't executed its program yet."""
    reader, writer = os.pipe()
    child = os.fork()
    if not child:
        os.close(writer)
        os.read(reader, 1)
        os._exit(0)
    try:
        yield
    finally:
        os.close(writer)
        os.close(reader)
        os.waitpid(child, 0)


def proxy(address):
    proxy = FaultProxy(address, address)
    proxy.open()
    return lambda: proxy.set_mode("partition"), lambda: proxy.set_mode("pass")


def link(address):
    link = PairLink(address, address)
    link.open()
    return lambda: link.set_target_down(True), lambda: link.set_target_down(False)


def hanging_link(address):
    link = PairLink(address, address)
    link.open()
    link.cut(CUTS["hanging, reset"])
    return lambda: link.cut(CUTS["refused, reset"]), link.restore


def engine(address):
    engine = PlatformEngine("e1", address, "app")
    engine.listen()
    return engine.stop, engine.listen


# Guards against an instance of a test that crashes by half, as its proxy fails to close
# while another process of the test is started: it goes on under its new version.
@pytest.mark.parametrize("start", [proxy, link, hanging_link, engine])
def test_listener_stops_while_a_child_process_starts(start):
    async def go():
        (port,) = free_ports(1)
        stop, resume = start(f"127.0.0.1:{port}")
        with forked_child():
            stop()
            with socket.socket() as client, pytest.raises(ConnectionRefusedError):
                client.connect(("127.0.0.1", port))
            resume()
        stop()

    asyncio.run(go())
