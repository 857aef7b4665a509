"""Streams go on at another software version, after engines started again in place.

Engines crash one after the other and start again under their ids, each with a newer
software version than before. A VM that has not read the new record of the first one
takes it for one of the old version, and sends it the streams that the crash of the
second one has cut.
"""

import asyncio
import itertools
import json
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from standins import fleet as deployment  # noqa: E402
from standins import http1  # noqa: E402
from standins.engine import Engine, Pool  # noqa: E402

VMS = 5
LETTERS, LETTER_TOKENS, LETTER_EVENTS, LETTER_SECONDS = 24, 1_200, 60, 0.1
TIME_LIMIT_MS = 10_000
#: Each engine is away for so long; the second crashes so much after the first.
DOWN_SECONDS, APART_SECONDS = 0.5, 1.3
#: ORDER is broken by more than so many streams.
STREAMS = 2


#: Short letters a second beside them, as on a usual day.
SHORT_PER_SECOND, SHORT_EVENTS, WARM_UP_SECONDS = 25, 2, 6


class Letter:
    def __init__(self, number, events=LETTER_EVENTS):
        self.id = f"{number:08x}a3f05c11"
        self.events = events
        self.answer = http1.Answer()

    async def run(self, address):
        client = http1.Client(address)
        try:
            await client.connect()
            headers = deployment.fields(
                self.id, LETTER_TOKENS, self.events, TIME_LIMIT_MS
            )
            # No two letters share a part of their prompts.
            headers["X-Mulberrydock-Prompt-Prefix"] = (
                f"{self.id[:8]}aa:600,{self.id[:8]}bb:600"
            )
            client.send("POST", "/lohu930/2f", headers, b"letter")
            await asyncio.wait_for(client.receive(self.answer), TIME_LIMIT_MS / 1000)
        except (OSError, asyncio.TimeoutError) as error:
            self.answer.ended = type(error).__name__
        finally:
            client.close()

    def versions(self):
        """Return the versions that wrote the events, in order."""
        rows = deployment.event_lines(self.answer.body)
        return list(dict.fromkeys(text.rsplit(" ", 1)[1] for _, text in rows))


def mode(fleet, name):
    """Return how a VM follows the store, as it has logged last."""
    lines = [x for x in fleet.log(name).splitlines() if '"store followed"' in x]
    return json.loads(lines[-1])["mode"] if lines else ""


async def main(record, trouble):
    pool = Pool(record.line)
    async with deployment.Fleet(record, count=VMS) as fleet:
        routes = [deployment.route("/lohu930/", "renewal-llm")]
        fleet.store.write("op/config", deployment.config(7, routes))
        for number in range(1, 5):
            ip = f"127.0.2.{number}"
            engine = Engine(
                pool,
                fleet.store,
                f"i-{number}f3a91c2",
                f"{ip}:{deployment.free_port(ip)}",
                "renewal-llm",
                deployment.ZONES[number % 3],
                "decode" if number < 3 else "prefill",
            )
            engine.event_seconds = lambda request: LETTER_SECONDS
            engine.born = int(time.time() * 1000)
            fleet.engines.append(engine)
            await engine.start()
        fleet.start_daemons()
        await fleet.wait_ready()
        await asyncio.sleep(5)
        modes = {name: mode(fleet, name) for name in fleet.daemons}
        record.line(f"how the VMs follow the store: {modes}")
        return await play(record, trouble, pool, fleet, modes)


async def send_short(address, tasks):
    """Send short letters at a steady rate."""
    for number in itertools.count(0x10000):
        letter = Letter(number, SHORT_EVENTS)
        tasks.append(asyncio.ensure_future(letter.run(address)))
        await asyncio.sleep(1 / SHORT_PER_SECOND)


async def play(record, trouble, pool, fleet, modes):
    followers = [name for name in modes if modes[name] == "follower"]
    address = fleet.front((followers or list(modes))[0])
    letters = [Letter(number) for number in range(LETTERS)]
    tasks, usual = [], []
    steady = asyncio.ensure_future(send_short(address, usual))
    fleet.tasks.append(steady)
    await asyncio.sleep(WARM_UP_SECONDS)
    for letter in letters:
        tasks.append(asyncio.ensure_future(letter.run(address)))
        await asyncio.sleep(0.03)
    await asyncio.sleep(1.5)
    if trouble:
        first, second = fleet.engines[:2]
        fleet.tasks.append(asyncio.ensure_future(first.crash(DOWN_SECONDS, "v2")))
        await asyncio.sleep(APART_SECONDS)
        fleet.tasks.append(asyncio.ensure_future(second.crash(DOWN_SECONDS, "v2")))
    await asyncio.gather(*tasks)
    steady.cancel()
    return judge(record, pool, letters)


def judge(record, pool, letters):
    """ORDER: more than two streams hold events from two software versions."""
    mixed = 0
    for letter in letters:
        runs = [run for run in pool.runs if run.id == letter.id]
        versions = letter.versions()
        mixed += len(versions) > 1
        record.line(
            f"letter {letter.id}: status {letter.answer.status}, {letter.answer.ended},"
            f" versions {versions}; runs: "
            f"{[(r.engine, r.version, r.first, r.made, r.ended) for r in runs]}"
        )
    record.line(f"streams with events of two software versions: {mixed}")
    return mixed > STREAMS


if __name__ == "__main__":
    deployment.run_case(main, pathlib.Path(__file__).parent)
