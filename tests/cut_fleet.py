"""A fleet whose VMs can be cut off from their peers and from the store."""

import base64

from link_fleet import LinkFleet

from mulberrydock import records
from mulberrydock.defaults import ENTRY_PREFIX
from mulberrydock.standin.datagram_links import DatagramLinks
from mulberrydock.standin.pair_link import CUTS, PairLink

#: Target of the links to the store.
STORE = "store"


class CutFleet(LinkFleet):
    """Each VM reaches the store and each peer over a link of its own.

    ``links`` also maps (VM, :data:`STORE`) and (VM, "peer NAME at PORT") to the links
    that carry connections, ``datagrams`` are those that carry the peers' datagrams.
    """

    def __init__(self, directory):
        super().__init__(directory)
        self.datagrams = DatagramLinks(self.loop)

    def add_store_proxy(self, name, address):
        address = super().add_store_proxy(name, address)
        return self.call_on_loop(self.link, name, STORE, address)

    def link_address(self, name, address):
        # With a port for each link, those of a large fleet wouldn't suffice.
        return f"{self.datagrams.host(name)}:{address.rpartition(':')[2]}"

    def view(self, name, key, value):
        peer = key.removeprefix(ENTRY_PREFIX)
        if not key.startswith(ENTRY_PREFIX) or peer == name:
            return super().view(name, key, value)
        record = records.decode(records.EntryRecord, base64.b64decode(value))
        record = record.as_builder()
        port = int(record.peerAddress.rpartition(":")[2])
        record.peerAddress = self._peer_address(name, peer, port)
        return base64.b64encode(records.encode(record).encode()).decode()

    def _peer_address(self, name, peer, port):
        host, port = self.datagrams.open(name, peer, port)
        target = f"peer {peer} at {port}"
        if (name, target) not in self.links:
            link = PairLink(f"{host}:{port}", f"127.0.0.1:{port}")
            link.open()
            self.links[name, target] = link
            self._apply_cuts()
        return f"{host}:{port}"

    def cut_peers(self, names, is_cut):
        """Cut the links between ``names`` and all other VMs, or end that."""
        self.call_on_loop(self._cut_peers, set(names), is_cut)

    def _cut_peers(self, names, is_cut):
        cut = self.datagrams.cut_names
        (cut.update if is_cut else cut.difference_update)(names)
        self._apply_cuts()

    def _apply_cuts(self):
        for (name, target), link in list(self.links.items()):
            if target.startswith("peer "):
                is_cut = not self.datagrams.cut_names.isdisjoint(
                    (name, target.split()[1])
                )
                if is_cut != (link.wanted is not None):
                    link.cut(CUTS["silent"]) if is_cut else link.restore()

    def _close_standins(self):
        super()._close_standins()
        self.datagrams.close()
