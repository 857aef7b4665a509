"""A fleet whose engines move running streams to each other.

One daemon is a real process; the store and the engines are stand-ins. Two engines
prefill, so that none is ordered to change its stage.
"""

import contextlib
import http.client
import threading

import attrs
from platform_fleet import (
    PlatformFleet,
    config,
    event_ids,
    send,
    wait_until,
    whole_events,
)

from mulberrydock.platform import wire
from mulberrydock.standin.platform_moves import MoveLedger

DECODERS = ("d1", "d2", "d3")
EVENTS = 24
EVENT_INTERVAL_SECONDS = 0.08
#: Bytes of a token's KV cache with which a transfer is short, or longer than a stream
#: may stand still: 100 tokens then take 0.2 s.
SMALL_TOKEN_BYTES = 1000
LARGE_TOKEN_BYTES = 250_000


@contextlib.contextmanager
def started_fleet(directory, moves=True, token_bytes=SMALL_TOKEN_BYTES):
    """Start the fleet and stop it at the end."""
    fleet = PlatformFleet(directory)
    fleet.ledger = MoveLedger()
    document = config(3)
    engine = {"slots": 4, "link_mbps": 1000, "kv_token_bytes": token_bytes}
    document["services"][0]["engine"] |= engine | {"moves": moves}
    fleet.write("op/config", document)
    options = {"events": EVENTS, "event_interval_seconds": EVENT_INTERVAL_SECONDS}
    for name in ("p1", "p2", *DECODERS):
        stage = "decode" if name in DECODERS else "prefill"
        added = fleet.add_instance(name, "llm", stage, **options, moves=fleet.ledger)
        fleet.ledger.engines[added.address] = added
    fleet.start()
    try:
        fleet.wait_ready()
        yield fleet
    finally:
        fleet.stop()


@attrs.define
class MovingStream:
    """A client's stream, read in a thread.

    ``data`` are the bytes that arrived, ``complete`` whether they are all of them.
    """

    fleet: object
    prefix: str
    name: str = "s"
    data: bytes = b""
    complete: bool = False
    signature: str = ""
    connection: object = None
    thread: object = None

    def begin(self):
        """Send the request and wait for the third event; return this object."""
        self.connection = self.fleet.connect()
        headers = {"X_Mulberrydock_Token_Counts": f"100,{EVENTS}"}
        send(self.connection, self.prefix, self.name, **headers)
        self.thread = threading.Thread(target=self._read, daemon=True)
        self.thread.start()
        wait_until(lambda: len(self.ids) >= 3)
        return self

    def _read(self):
        try:
            response = self.connection.getresponse()
            self.signature = response.getheader(wire.SIGNATURE)
            while chunk := response.read1(4096):
                self.data += chunk
            self.complete = b"id: %d\n" % EVENTS in self.data
        except (http.client.HTTPException, OSError, ValueError, AttributeError):
            pass

    @property
    def ids(self):
        """The ids of the whole events that arrived."""
        return event_ids(whole_events(self.data))

    def end(self):
        """Wait for the end of the stream; return this object."""
        self.thread.join(10)
        return self

    def runs(self):
        """Return (engine, run) of each run of the request, in order."""
        rows = [
            (engine, run)
            for engine in self.fleet.engines.values()
            for run in engine.runs
            if run.id == self.name
        ]
        return sorted(rows, key=lambda row: row[1].last_event_id)

    @property
    def source(self):
        """The engine that runs the stream now, None if none does."""
        return next((engine for engine, run in self.runs() if not run.ended), None)


def announce_leave(fleet, engine, seconds):
    """Let an engine announce that it leaves, and terminate after ``seconds``."""
    fleet.call_on_loop(engine.leave, seconds)
    fleet.write(f"servers/{engine.id}", engine.store_document("draining"))
