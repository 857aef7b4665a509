"""The fault proxy itself: what a test of a failure relies on."""

import asyncio
import socket
import threading

import pytest

from mulberrydock.fleet import free_ports
from mulberrydock.standin.faultproxy import FaultProxy


@pytest.mark.parametrize("mode", ["pass", "kill", "delay"])
def test_partition_refuses_connections_and_keeps_its_port(mode):
    """A proxy is closed for a while. Another process that looks for a free
    port at that moment takes the proxy's, and the proxy can't be opened again:
    a run of tests fails for no fault of the product. The port stays taken, new
    connections are refused, and later they are accepted."""

    async def go():
        target, port = free_ports(2)
        proxy = FaultProxy(f"127.0.0.1:{port}", f"127.0.0.1:{target}")
        proxy.open()
        proxy.set_mode("partition")
        with socket.socket() as other, pytest.raises(OSError):
            other.bind(("127.0.0.1", port))
        with socket.socket() as client, pytest.raises(ConnectionRefusedError):
            client.connect(("127.0.0.1", port))
        proxy.set_mode(mode)
        with socket.socket() as client:
            client.connect(("127.0.0.1", port))
        proxy.stop()

    asyncio.run(go())


def test_port_that_is_in_use_for_a_moment_is_waited_for():
    """A daemon is started while a proxy closes: until the new process has
    loaded its program it holds a copy of the proxy's listening socket, and the
    port is in use for a moment more. The copy here is made by hand."""

    async def go():
        target, port = free_ports(2)
        proxy = FaultProxy(f"127.0.0.1:{port}", f"127.0.0.1:{target}")
        proxy.open()
        (listening,) = proxy._sockets.values()
        copy = listening.dup()
        threading.Timer(0.1, copy.close).start()
        proxy.set_mode("partition")
        with socket.socket() as client, pytest.raises(ConnectionRefusedError):
            client.connect(("127.0.0.1", port))

    asyncio.run(go())
