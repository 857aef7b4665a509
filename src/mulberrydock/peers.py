"""Datagrams between entry VMs: who is alive, who leaves, what is in flight."""

import asyncio
import socket
import time

import attrs
from loguru import logger

from . import records
from ._http import split_address
from .demand import Demand
from .learned import PoolNews, ReadSample
from .peer_loads import Load, PeerReport
from .reading_speed import ReadingCost

#: Seconds between two messages to each peer. A prefill takes 20 to 150 ms, so
#: a view of 200 ms still tells a busy engine from an idle one; half of it
#: doubles the traffic between data centres, which is priced.
SEND_SECONDS = 0.2
#: Peers up to which a VM sends that often. With more, it sends less often, so
#: that its messages a second stay bounded: at 80 VMs a second passes between
#: two to the same peer, as each of them then has an eightieth of the load.
PEERS_AT_FULL_RATE = 16
#: Every how many messages what was learnt of the pools goes along: it changes
#: over seconds.
MESSAGES_A_POOL_REPORT = 5


def _pool_row(news):
    row = {
        "service": news.service,
        "reading": news.demand.reading,
        "moved": news.demand.moved,
        "streams": news.demand.streams,
        "apart": news.demand.apart,
        "inPlace": news.demand.in_place,
        "short": news.demand.short,
    }
    if news.cost is not None:
        row |= attrs.asdict(news.cost)
    return row


def _read_pool(row):
    demand = Demand(
        row.reading, row.moved, row.streams, row.apart, row.inPlace, row.short
    )
    cost = ReadingCost(row.overhead, row.token, row.pair) if row.token > 0 else None
    return PoolNews(row.service, demand, cost)


class PeerLink(asyncio.DatagramProtocol):
    """Sends this VM's loads to its peers and takes theirs.

    :param name: this VM's name.
    :param book: the :class:`~mulberrydock.peer_loads.LoadBook` to send from
        and to feed.
    :param addresses: returns the peers' addresses as ``host:port``.
    :param leaving: returns True once this VM drains.
    :param learned: the :class:`~mulberrydock.learned.Learned` to tell from and
        to feed, None to tell only loads.
    """

    def __init__(self, name, book, addresses, leaving, learned=None):
        self.name = name
        self.book = book
        self.learned = learned
        self.addresses = addresses
        self.leaving = leaving
        # Larger after each restart, so that peers take the new count.
        self.sequence = int(time.time() * 1000)
        self.messages = 0
        self.transport = None

    async def open(self, ip, port):
        """Bind the socket at ``ip:port``."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.bind((ip, port))
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, sock=sock)

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, addr):
        try:
            message = records.PeerMessage.from_bytes_packed(data)
            report = PeerReport(
                message.sequence,
                time.monotonic(),
                {
                    row.instance: Load(row.running, tuple(row.prefill), row.longest)
                    for row in message.loads
                },
                message.leaving,
                frozenset(message.held),
                message.intervalMs / 1000,
            )
            name = message.name
            reads = [
                (row.instance, list(zip(row.keys, row.tokens))) for row in message.reads
            ]
            pools = [_read_pool(row) for row in message.pools]
            samples = [
                ReadSample(row.service, row.tokens, row.cached, row.seconds)
                for row in message.samples
            ]
        except Exception as error:  # capnp raises its own unlisted types
            logger.warning("peer message refused", source=addr[0], error=repr(error))
            return
        self.book.receive(name, report)
        if self.learned is None:
            return
        for instance, rows in reads:
            self.learned.hear_reads(instance, rows)
        self.learned.hear_news(name, pools, report.received_at)
        self.learned.hear_samples(samples, report.received_at)

    def error_received(self, exc):
        logger.debug("peer send failed", error=repr(exc))

    def interval(self):
        """Return the seconds between two messages to each peer."""
        return SEND_SECONDS * max(1.0, len(self.addresses()) / PEERS_AT_FULL_RATE)

    def message(self, now):
        """Return this VM's message at ``now`` as bytes."""
        self.sequence += 1
        rows = [
            {
                "instance": instance,
                "running": load.running,
                "prefill": [int(tokens) for tokens in load.prefill],
                "longest": int(load.longest),
            }
            for instance, load in self.book.own().items()
        ]
        message = records.PeerMessage.new_message(
            name=self.name,
            sequence=self.sequence,
            leaving=self.leaving(),
            loads=rows,
            held=sorted(self.book.own_held(now)),
            intervalMs=int(self.interval() * 1000),
            **self._learned(now),
        )
        # Packed, as traffic between data centres is paid for: 210 instead of
        # 420 bytes with sends to six instances.
        return message.to_bytes_packed()

    def _learned(self, now):
        """Return the fields that tell what this VM has learnt."""
        if self.learned is None:
            return {}
        self.messages += 1
        reads = [
            {
                "instance": instance,
                "keys": [key for key, _ in rows],
                "tokens": [tokens for _, tokens in rows],
            }
            for instance, rows in self.learned.cache.take_news().items()
        ]
        pools = []
        if self.messages % MESSAGES_A_POOL_REPORT == 0:
            pools = [_pool_row(news) for news in self.learned.news(now)]
        samples = [attrs.asdict(s) for s in self.learned.take_samples()]
        return {"reads": reads, "pools": pools, "samples": samples}

    def send(self):
        """Send one message to every peer."""
        data = self.message(time.monotonic())
        for address in self.addresses():
            self.transport.sendto(data, split_address(address))

    async def run(self):
        """Send for ever."""
        while True:
            self.send()
            await asyncio.sleep(self.interval())
