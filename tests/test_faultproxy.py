"""The fault proxy itself: what a test of a failure relies on."""

import asyncio
import socket

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
        proxy.close()

    asyncio.run(go())


def test_proxy_is_closed_and_opened_more_than_once():
    """A network is cut, heals, and is cut again. A proxy that can be closed only
    once goes on forwarding in the second cut, and then can't be opened again:
    a test of two cuts proves nothing, or fails for no fault of the product."""

    async def go():
        target, port = free_ports(2)
        proxy = FaultProxy(f"127.0.0.1:{port}", f"127.0.0.1:{target}")
        proxy.open()
        for _ in range(3):
            proxy.set_mode("partition")
            with socket.socket() as client, pytest.raises(ConnectionRefusedError):
                client.connect(("127.0.0.1", port))
            proxy.set_mode("pass")
            with socket.socket() as client:
                client.connect(("127.0.0.1", port))
        proxy.close()

    asyncio.run(go())
