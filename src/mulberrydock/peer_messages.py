"""Messages between entry VMs, as Python objects and as the bytes of a datagram."""

import attrs

from . import records, usage_records
from .crash_evidence import Crash
from .demand import Demand
from .estimates import PoolUpdate, PrefillSample
from .peer_loads import Load, PeerReport
from .prefill_cost import PrefillCost
from .store_freshness import StoreReport
from .stream_origins import OriginMessageKind, StreamOrigin
from .usage import UsageUpdate

#: Largest value of a 32-bit field. What is larger is sent as this: no engine has as
#: much work, or as long a prompt.
MAX_UINT32 = 2**32 - 1


def _uint32(value):
    """Return a number as a field of 32 bits holds it."""
    return int(min(max(value, 0), MAX_UINT32))


@attrs.define(frozen=True)
class LimitUpdate:
    """A rate limit that an instance declares.

    ``rate`` is in requests per second, None when the instance no longer has a limit;
    ``age`` is the number of seconds since a response stated it.
    """

    instance: str
    rate: float | None
    age: float

    @classmethod
    def from_row(cls, row):
        """Build a limit from its row in a datagram."""
        return cls(row.instance, row.rate or None, row.ageMs / 1000)

    @property
    def row(self):
        """The row of this limit in a datagram."""
        age_ms = _uint32(self.age * 1000)
        return {"instance": self.instance, "rate": self.rate or 0.0, "ageMs": age_ms}


@attrs.define(frozen=True)
class CrashReport:
    """A crash that the sender saw; ``age`` is the number of seconds since then."""

    crash: Crash
    age: float

    @classmethod
    def from_row(cls, row):
        """Build a report from its row in a datagram."""
        return cls(Crash(row.work, row.instance), row.ageMs / 1000)

    @property
    def row(self):
        """The row of this report in a datagram."""
        return attrs.asdict(self.crash) | {"ageMs": _uint32(self.age * 1000)}


@attrs.define(frozen=True)
class SoundWork:
    """Work that an instance was seen to serve.

    ``work`` is its fingerprint; ``age`` is the number of seconds since the instance
    began to answer.
    """

    work: str
    age: float

    @classmethod
    def from_row(cls, row):
        """Build it from its row in a datagram."""
        return cls(row.work, row.ageMs / 1000)

    @property
    def row(self):
        """Its row in a datagram."""
        return {"work": self.work, "ageMs": _uint32(self.age * 1000)}


@attrs.define(frozen=True)
class PeerUpdate:
    """The content of one message.

    ``name`` is the sender's; ``data_centre`` is the data centre whose sum this is,
    empty for the sender's own report. ``prefills`` maps instance ids to (key, tokens)
    rows of the prompt parts prefilled there since the last message. ``pools`` are
    :class:`~mulberrydock.estimates.PoolUpdate`, ``samples`` are
    :class:`~mulberrydock.estimates.PrefillSample`, ``crashes`` are
    :class:`CrashReport`, ``limits`` are :class:`LimitUpdate`,
    ``leaving_instances`` are incarnations that announced their leave,
    ``removed_instances`` those whose record was removed of late, ``sound_works`` are
    :class:`SoundWork`. ``store`` is the sender's
    :class:`~mulberrydock.store_freshness.StoreReport`, None if it has nothing to say.
    """

    name: str
    report: PeerReport
    data_centre: str = ""
    prefills: dict = attrs.field(factory=dict)
    pools: list = attrs.field(factory=list)
    samples: list = attrs.field(factory=list)
    crashes: list = attrs.field(factory=list)
    limits: list = attrs.field(factory=list)
    leaving_instances: list = attrs.field(factory=list)
    sound_works: list = attrs.field(factory=list)
    store: StoreReport | None = None
    removed_instances: list = attrs.field(factory=list)


@attrs.define(frozen=True)
class UsageMessage:
    """A message that holds the usage counts of the VM ``name`` and nothing else."""

    name: str
    update: UsageUpdate


@attrs.define(frozen=True)
class OriginMessage:
    """A message of the VM ``name`` about a stream's origin, and nothing else."""

    name: str
    kind: OriginMessageKind
    origin: StreamOrigin


def _pool_row(update):
    row = {
        "service": update.service,
        "reading": update.demand.prefill_work,
        "moved": update.demand.transferred_tokens,
        "streams": update.demand.streams,
        "apart": update.demand.prefill_engine_work,
        "inPlace": update.demand.decode_engine_work,
        "short": update.demand.short_prefill_work,
    }
    if update.cost is not None:
        row |= attrs.asdict(update.cost)
    return row


def _decode_pool(row):
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
            "prefill": [_uint32(tokens) for tokens in load.prefill],
            "longest": _uint32(load.longest),
        }
        for instance, load in loads.items()
    ]


def _prefill_rows(prefills):
    return [
        {
            "instance": instance,
            "keys": [key for key, _ in rows],
            "tokens": [_uint32(tokens) for _, tokens in rows],
        }
        for instance, rows in prefills.items()
    ]


def _sample_row(sample):
    counts = {"tokens": _uint32(sample.tokens), "cached": _uint32(sample.cached)}
    return attrs.asdict(sample) | counts


def encode(update):
    """Encode a :class:`PeerUpdate` as the bytes of a datagram.

    :raises Exception: one of capnp's undocumented types, when a value doesn't fit.
    """
    report = update.report
    message = records.PeerMessage.new_message(
        name=update.name,
        sequence=report.sequence,
        leaving=report.leaving,
        loads=_load_rows(report.loads),
        held=sorted(report.cordoned),
        intervalMs=int(report.interval * 1000),
        dataCentre=update.data_centre,
        suspects=sorted(report.suspects),
        reads=_prefill_rows(update.prefills),
        pools=[_pool_row(pool) for pool in update.pools],
        samples=[_sample_row(sample) for sample in update.samples],
        crashes=[report.row for report in update.crashes],
        limits=[limit.row for limit in update.limits],
        leavingInstances=update.leaving_instances,
        removedInstances=update.removed_instances,
        lostServices=sorted(report.lost_services),
        vmsWithoutLinks=sorted(report.vms_without_links),
        soundWorks=[sound.row for sound in update.sound_works],
    )
    if update.store is not None:
        message.store = update.store.row
    # Packed, as traffic between data centres is paid for: 210 instead of 420 bytes
    # with loads of six instances.
    return message.to_bytes_packed()


def encode_usage(message):
    """Encode a :class:`UsageMessage` as the bytes of a datagram."""
    return records.PeerMessage.new_message(
        name=message.name, usage=usage_records.update_row(message.update)
    ).to_bytes_packed()


def encode_origin(message):
    """Encode an :class:`OriginMessage` as the bytes of a datagram."""
    row = {"kind": int(message.kind), **attrs.asdict(message.origin)}
    return records.PeerMessage.new_message(
        name=message.name, streamOrigin=row
    ).to_bytes_packed()


def _decode_origin(message):
    row = message.streamOrigin
    origin = StreamOrigin(row.key, row.version, row.service)
    return OriginMessage(message.name, OriginMessageKind(row.kind), origin)


def decode(data, now):
    """Decode the datagram that arrived at ``now``.

    :returns: a :class:`PeerUpdate`, a :class:`UsageMessage` or an
        :class:`OriginMessage`.
    :raises Exception: one of capnp's undocumented types, when ``data`` is no valid
        message.
    """
    message = records.PeerMessage.from_bytes_packed(data)
    if message._has("usage"):
        return UsageMessage(message.name, usage_records.decode_update(message.usage))
    if message._has("streamOrigin"):
        return _decode_origin(message)
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
        frozenset(message.lostServices),
        frozenset(message.vmsWithoutLinks),
    )
    return PeerUpdate(
        message.name,
        report,
        message.dataCentre,
        {row.instance: list(zip(row.keys, row.tokens)) for row in message.reads},
        [_decode_pool(row) for row in message.pools],
        [
            PrefillSample(row.service, row.tokens, row.cached, row.seconds)
            for row in message.samples
        ],
        [CrashReport.from_row(row) for row in message.crashes],
        [LimitUpdate.from_row(row) for row in message.limits],
        list(message.leavingInstances),
        [SoundWork.from_row(row) for row in message.soundWorks],
        StoreReport.from_row(message.store) if message._has("store") else None,
        list(message.removedInstances),
    )
