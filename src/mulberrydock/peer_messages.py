"""What entry VMs tell each other, as typed news and as the bytes of a datagram."""

import attrs

from . import records
from .demand import Demand
from .estimates import PoolUpdate, PrefillSample
from .peer_loads import Load, PeerReport
from .prefill_cost import PrefillCost
from .quarantine import Crash


@attrs.define(frozen=True)
class LimitUpdate:
    """The limit that an instance declares: requests a second, None when it has none any
    more, and the seconds since an answer showed it."""

    instance: str
    rate: float | None
    age: float

    @classmethod
    def from_row(cls, row):
        """Read a row of a datagram."""
        return cls(row.instance, row.rate or None, row.ageMs / 1000)

    @property
    def row(self):
        """The row of a datagram."""
        age_ms = max(0, int(self.age * 1000))
        return {"instance": self.instance, "rate": self.rate or 0.0, "ageMs": age_ms}


@attrs.define(frozen=True)
class PeerUpdate:
    """One message.

    ``name`` is the sender's; ``data_centre`` is whose sum it is, empty for the
    sender's own. ``reads`` maps instance ids to (key, tokens) rows of parts that
    were read there since the last message, ``pools`` are :class:`PoolUpdate`,
    ``samples`` are :class:`PrefillSample`, ``crashes`` are
    :class:`~mulberrydock.quarantine.Crash`, ``limits`` are :class:`LimitUpdate`.
    """

    name: str
    report: PeerReport
    data_centre: str = ""
    reads: dict = attrs.field(factory=dict)
    pools: list = attrs.field(factory=list)
    samples: list = attrs.field(factory=list)
    crashes: list = attrs.field(factory=list)
    limits: list = attrs.field(factory=list)


def _pool_row(news):
    row = {
        "service": news.service,
        "reading": news.demand.prefill_work,
        "moved": news.demand.transferred_tokens,
        "streams": news.demand.streams,
        "apart": news.demand.prefill_engine_work,
        "inPlace": news.demand.decode_engine_work,
        "short": news.demand.short_prefill_work,
    }
    if news.cost is not None:
        row |= attrs.asdict(news.cost)
    return row


def _read_pool(row):
    demand = Demand(
        row.reading, row.moved, row.streams, row.apart, row.inPlace, row.short
    )
    cost = PrefillCost(row.overhead, row.token, row.pair) if row.token > 0 else None
    return PoolUpdate(row.service, demand, cost)


def _load_rows(loads):
    return [
        {
            "instance": instance,
            "running": load.running,
            "prefill": [int(tokens) for tokens in load.prefill],
            "longest": int(load.longest),
        }
        for instance, load in loads.items()
    ]


def _read_rows(reads):
    return [
        {
            "instance": instance,
            "keys": [key for key, _ in rows],
            "tokens": [tokens for _, tokens in rows],
        }
        for instance, rows in reads.items()
    ]


def encode(news):
    """Return a :class:`PeerUpdate` as the bytes of a datagram."""
    report = news.report
    message = records.PeerMessage.new_message(
        name=news.name,
        sequence=report.sequence,
        leaving=report.leaving,
        loads=_load_rows(report.loads),
        held=sorted(report.cordoned),
        intervalMs=int(report.interval * 1000),
        dataCentre=news.data_centre,
        suspects=sorted(report.suspects),
        reads=_read_rows(news.reads),
        pools=[_pool_row(pool) for pool in news.pools],
        samples=[attrs.asdict(sample) for sample in news.samples],
        crashes=[attrs.asdict(crash) for crash in news.crashes],
        limits=[limit.row for limit in news.limits],
    )
    # Packed, as traffic between data centres is paid for: 210 instead of
    # 420 bytes with sends to six instances.
    return message.to_bytes_packed()


def decode(data, now):
    """Return the :class:`PeerUpdate` in a datagram that arrived at ``now``.

    :raises Exception: capnp's own unlisted types, when it is no peer's message.
    """
    message = records.PeerMessage.from_bytes_packed(data)
    report = PeerReport(
        message.sequence,
        now,
        {
            row.instance: Load(row.running, tuple(row.prefill), row.longest)
            for row in message.loads
        },
        message.leaving,
        frozenset(message.held),
        message.intervalMs / 1000,
        frozenset(message.suspects),
    )
    return PeerUpdate(
        message.name,
        report,
        message.dataCentre,
        {row.instance: list(zip(row.keys, row.tokens)) for row in message.reads},
        [_read_pool(row) for row in message.pools],
        [
            PrefillSample(row.service, row.tokens, row.cached, row.seconds)
            for row in message.samples
        ],
        [Crash(row.work, row.instance) for row in message.crashes],
        [LimitUpdate.from_row(row) for row in message.limits],
    )
