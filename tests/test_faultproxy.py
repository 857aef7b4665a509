"""The fault-injecting proxy that failure tests rely on."""

import asyncio
import socket

import pytest

from mulberrydock.fleet import free_ports
from mulberrydock.standin.faultproxy import FaultProxy


@pytest.mark.parametrize("mode", ["pass", "kill", "delay"])
def test_partition_refuses_connections_and_keeps_its_port(mode):
    """Guards against a proxy that loses its port during a partition.

    If another process took the free port meanwhile, the proxy couldn't be opened again
    and a test would fail although the product has no fault. The port stays bound,
    new connections are refused, and they are accepted after the partition.
    """

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


def test_repeated_partitions_refuse_connections():
    """Guards against a proxy that can be closed only once.

    It would go on forwarding in the second partition and couldn't be opened again
    after it: a test with two partitions would prove nothing, or fail although the
    product has no fault.
    """

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
