"""A stream that its engine's planned exit cuts off is passed on as complete."""

import asyncio
import pathlib
import random
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parents[1] / "standins-3"))

import lab as labs  # noqa: E402

EVENTS = 60
INTERVAL_SECONDS = 0.1
STREAMS = 40
#: One answer in twenty has no length and ends with its connection.
UNFRAMED_SHARE = 0.05
#: Seconds beyond drain_ms for which the leaving engine serves.
LONGER_SECONDS = 0.3


def request_id(index):
    """Return an id; the engines' answers to one in twenty of them have no length."""
    limit = int(UNFRAMED_SHARE * 2**32)
    unframed = index % int(1 / UNFRAMED_SHARE) == 0
    first = random.randrange(limit) if unframed else random.randrange(limit, 2**32)
    return f"{first:08x}{random.getrandbits(32):08x}", unframed


async def leave(lab, engine):
    """Let an engine leave that never reports draining."""
    lab.note("engine", engine=engine.name, entry="removed")
    lab.store.delete(f"servers/{engine.name}")
    await asyncio.sleep(labs.DRAIN_SECONDS + LONGER_SECONDS)
    engine.set(exit=True)
    await engine.process.wait()


async def test(lab, trouble):
    await lab.start(daemons=3, prefill=2, decode=3)
    for engine in lab.decoders():
        engine.set(unframed=UNFRAMED_SHARE, events=EVENTS, interval=INTERVAL_SECONDS)
    await asyncio.sleep(1.0)
    vms, queries, unframed = list(lab.daemons), [], set()
    for index in range(STREAMS):
        name, is_unframed = request_id(index)
        if is_unframed:
            unframed.add(name)
        channel = await lab.connect(vms[index % len(vms)])
        query = lab.send(channel, labs.QUERIES, output=95, request_id=name)
        queries.append(asyncio.ensure_future(query))
        await asyncio.sleep(0.01)
    runs = {}

    def all_run():
        runs.update(
            (row["id"], engine)
            for engine in lab.decoders()
            for row in engine.lines
            if row["event"] == "run"
        )
        return len(runs) == STREAMS

    await lab.until(all_run, "all streams run")
    await asyncio.sleep(0.5)
    if trouble:
        await leave(lab, runs[min(unframed)])
    wrong = False
    for name, response in await asyncio.gather(*queries):
        last = labs.last_event(response.body)
        if response.status == 200 and response.end == "complete" and last < EVENTS:
            wrong = True
            lab.note("judge", request=name, ends_as="complete", last=last, of=EVENTS)
    return not wrong


labs.run(test, HERE / "record.txt")
