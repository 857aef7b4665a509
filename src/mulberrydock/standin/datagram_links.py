"""Stand-in for the network links that carry datagrams between VMs, which tests cut."""

import contextlib
import itertools
import socket

import attrs

#: Largest datagram that UDP carries.
MAX_DATAGRAM_BYTES = 65535


@attrs.define(eq=False)
class DatagramLinks:
    """UDP links between processes on 127.0.0.1, one for each pair and direction.

    Each process has a loopback address for each of its peers, at its own port. What a
    peer sends there is passed on from the address that the process knows for that peer,
    so that an answer takes the link back. Ports are those of the processes: a link
    needs none of its own.

    :param loop: the event loop on which all methods are called.

    ``cut_names`` holds the names of the processes whose links are cut: datagrams from
    and to them are lost.
    """

    loop: object
    cut_names: set = attrs.field(factory=set)
    hosts: dict = attrs.field(factory=dict)
    numbers: object = attrs.field(factory=lambda: itertools.count(1))
    sockets: dict = attrs.field(factory=dict)

    def host(self, name):
        """Return the loopback address at which the process ``name`` sees its peers."""
        if name not in self.hosts:
            self.hosts[name] = f"127.0.1.{next(self.numbers)}"
        return self.hosts[name]

    def open(self, viewer, name, port):
        """Open the link from ``viewer`` to the process ``name``, which is at ``port``.

        :returns: the (host, port) to which ``viewer`` has to send.
        """
        address = self.host(viewer), port
        if address not in self.sockets:
            link = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            link.setblocking(False)
            link.bind(address)
            self.sockets[address] = link
            self.loop.add_reader(link, self._pass_on, link, viewer, name, port)
        return address

    def _pass_on(self, link, viewer, name, port):
        with contextlib.suppress(BlockingIOError):
            data, sender = link.recvfrom(MAX_DATAGRAM_BYTES)
            if self.cut_names.isdisjoint((viewer, name)):
                back = self.sockets[self.open(name, viewer, sender[1])]
                back.sendto(data, ("127.0.0.1", port))

    def close(self):
        """Close all links."""
        for link in self.sockets.values():
            self.loop.remove_reader(link)
            link.close()
        self.sockets.clear()
