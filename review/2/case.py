"""A planned stop cuts letters that were taken after the third second of its grace.

A clerk's letter is a resumable stream of 38 events, 150 ms apart: 5.7 s of 10 s. One VM
of three gets SIGTERM. Clients that hold the list of VMs of the moment before keep it
for the time that it states, and go on to use that VM meanwhile.
"""

import asyncio
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from standins import fleet as deployment  # noqa: E402
from standins import http1  # noqa: E402
from standins.engine import Engine, Pool  # noqa: E402

EVENTS = 38
EVENT_SECONDS = 0.15
TIME_LIMIT_MS = 10_000
GRACE_SECONDS = 8
#: The page excuses what was sent by 3 s; a margin for the clocks of this script.
EXCUSED_UNTIL = 3.02
#: Seconds after the signal at which clients send; the list is kept for 5 s.
SEND_FROM, SEND_UNTIL, SEND_EACH = -1.0, 4.6, 0.06


class Letter:
    def __init__(self, number):
        self.id = f"{number:08x}a3f05c11"
        self.sent_at = self.ended_at = None
        self.answer = http1.Answer()

    async def run(self, fleet, address):
        client = http1.Client(address)
        try:
            await client.connect()
            headers = deployment.fields(self.id, 1200, EVENTS, TIME_LIMIT_MS)
            client.send("POST", "/lohu930/2f", headers, b"letter")
            self.sent_at = time.monotonic()
            left = TIME_LIMIT_MS / 1000
            await asyncio.wait_for(client.receive(self.answer), left)
        except (OSError, asyncio.TimeoutError) as error:
            self.answer.ended = f"{type(error).__name__}"
        finally:
            self.ended_at = time.monotonic()
            client.close()


async def resolve(fleet, name, record):
    """Ask a VM where to connect, as a client does."""
    page = f"/resolve?name={deployment.HOST}&region=lagos&zone={deployment.ZONES[0]}"
    answer = await fleet.get(name, "directory", page)
    record.line(f"client asks {name} where to connect: {answer.body.decode()}")


async def main(record, trouble):
    pool = Pool(record.line)
    async with deployment.Fleet(record) as fleet:
        routes = [deployment.route("/lohu930/", "renewal-llm")]
        fleet.store.write("op/config", deployment.config(7, routes))
        for number in range(1, 4):
            engine = Engine(
                pool,
                fleet.store,
                f"i-{number}f3a91c2",
                f"127.0.2.{number}:{deployment.free_port(f'127.0.2.{number}')}",
                "renewal-llm",
                deployment.ZONES[number - 1],
                "decode" if number < 3 else "prefill",
            )
            engine.event_seconds = lambda request: EVENT_SECONDS
            fleet.engines.append(engine)
            await engine.start()
        fleet.start_daemons()
        await fleet.wait_ready()
        await asyncio.sleep(3)
        victim = list(fleet.daemons)[0]
        letters, tasks = [], []
        await resolve(fleet, victim, record)
        term_at = time.monotonic() - SEND_FROM
        number, stopped = 0, False
        while True:
            due = term_at + SEND_FROM + number * SEND_EACH
            if due > term_at + SEND_UNTIL:
                break
            if not stopped and due >= term_at:
                await asyncio.sleep(max(0.0, term_at - time.monotonic()))
                term_at, stopped = time.monotonic(), True
                if trouble:
                    fleet.signal(victim, signal.SIGTERM)
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            letter = Letter(number)
            letters.append(letter)
            tasks.append(
                asyncio.ensure_future(letter.run(fleet, fleet.front(victim)))
            )
            number += 1
        if trouble:
            left = term_at + GRACE_SECONDS - time.monotonic()
            process = fleet.daemons[victim]
            await asyncio.sleep(0)
            while left > 0 and process.poll() is None:
                await asyncio.sleep(0.02)
                left = term_at + GRACE_SECONDS - time.monotonic()
            seconds = time.monotonic() - term_at
            if process.poll() is None:
                fleet.signal(victim, signal.SIGKILL)
            record.line(f"{victim} ended {seconds:.2f} s after SIGTERM")
        await asyncio.gather(*tasks)
        return judge(record, pool, letters, term_at)


def judge(record, pool, letters, term_at):
    """LOST, around a SIGTERM: passed on, and the channel ends without an answer."""
    broken = 0
    for letter in letters:
        runs = [run for run in pool.runs if run.id == letter.id]
        answer = letter.answer
        sent = letter.sent_at - term_at if letter.sent_at else float("nan")
        rows = deployment.event_lines(answer.body)
        record.line(
            f"letter {letter.id}: sent {sent:+.3f} s from SIGTERM, status "
            f"{answer.status}, {len(rows)} events, {answer.ended}, "
            f"{letter.ended_at - term_at:+.3f} s; "
            f"runs: {[(r.engine, r.ended, r.made) for r in runs]}"
        )
        if answer.complete or not runs:
            continue
        in_time = letter.ended_at - letter.sent_at < TIME_LIMIT_MS / 1000 - 0.1
        planned = letter.ended_at <= term_at + GRACE_SECONDS + 1
        broke_off = any(r.ended == "reached its time limit" for r in runs)
        excused = sent <= EXCUSED_UNTIL
        if in_time and planned and not broke_off and not excused:
            broken += 1
            record.line(
                f"LOST: {letter.id} was passed on to {runs[-1].engine} and cut after "
                f"{len(rows)} of {EVENTS} events, though it was sent {sent:.3f} s "
                f"after SIGTERM and had {TIME_LIMIT_MS / 1000} s"
            )
    record.line(f"letters: {len(letters)}, lost and not excused: {broken}")
    return broken > 0


if __name__ == "__main__":
    deployment.run_case(main, pathlib.Path(__file__).parent)
