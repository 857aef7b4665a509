"""A client that takes a stream up after its last event is never answered.

Slip checks are resumable streams of two events. Channels of one VM of three are reset
while it relays them. Some clients have both events by then, but not the end of the
stream; they can't know that there is no third event, and go on at another VM with
``Last-Event-Id: 2``. The engine has nothing more to send: it answers 200 with its
signature and ends the stream.
"""

import asyncio
import pathlib
import random
import socket
import struct
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2]))

from standins import fleet as deployment  # noqa: E402
from standins import http1  # noqa: E402
from standins.engine import Engine, Pool  # noqa: E402

#: A slip check: 2 tokens out, a step of a busy engine each.
EVENTS, STEP_SECONDS = 2, 0.2
#: The route: a configuration that grants 1.5 s, within the clients' 2.5 s.
TIMEOUT_MS, TIME_LIMIT_MS = 1500, 2500
#: Half a second after the route's timeout, the final answer must have come.
SLACK_SECONDS = 0.5
#: Clients give a stream up after 2 s without an event, four times the objective or
#: eight times the pause: 2.4 s.
GIVE_UP_SECONDS = 2.4
#: ``reset_conns``: 0.35 of the machines (one of three) have 0.55 of theirs reset.
RESET_SHARE = 0.55
SETTLE_SECONDS = 5
CHECKS, CHECK_GAP_SECONDS = 150, 0.01


class Try:
    """One attempt of a client, with an id of its own."""

    def __init__(self, name, last_event=0, resumes=""):
        self.id, self.last_event, self.resumes = name, last_event, resumes
        self.answer = http1.Answer()
        self.client = None
        self.sent_at = self.ended_at = None

    async def run(self, address):
        self.client = http1.Client(address)
        more = {}
        if self.last_event:
            more = {"Last-Event-Id": str(self.last_event), "Resumes": self.resumes}
        try:
            await self.client.connect()
            headers = deployment.fields(self.id, 1800, EVENTS, TIME_LIMIT_MS, **more)
            self.client.send("POST", "/lohu930/2f", headers, b"slip")
            self.sent_at = time.monotonic()
            await asyncio.wait_for(self.client.receive(self.answer), GIVE_UP_SECONDS)
        except (OSError, asyncio.TimeoutError) as error:
            self.answer.ended = f"gave up ({type(error).__name__})"
        finally:
            self.ended_at = time.monotonic()
            self.client.close()

    @property
    def events(self):
        return [number for number, _ in deployment.event_lines(self.answer.body)]

    @property
    def in_progress(self):
        return self.sent_at is not None and self.ended_at is None

    def reset(self):
        """Let the client's channel be reset."""
        sock = self.client.writer.get_extra_info("socket")
        linger = struct.pack("ii", 1, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        self.client.writer.transport.abort()


async def check(number, first, second, tries):
    """Send one slip check, and take it up at another VM if its channel breaks."""
    attempt = Try(f"{number:08x}e2a35f00")
    tries.append(attempt)
    await attempt.run(first)
    if attempt.answer.complete or not attempt.events:
        return
    # "The requester may do so after a broken channel."
    again = Try(f"{number:08x}e2a35f01", attempt.events[-1], attempt.id)
    tries.append(again)
    await again.run(second)


async def main(record, trouble):
    pool = Pool(record.line)
    async with deployment.Fleet(record) as fleet:
        row = deployment.route(
            "/lohu930/",
            "renewal-llm",
            timeout_ms=TIMEOUT_MS,
            target_latency_ms=400,
            priority=0,
        )
        fleet.store.write("op/config", deployment.config(7, [row]))
        for number in range(1, 6):
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
            engine.event_seconds = lambda request: STEP_SECONDS
            fleet.engines.append(engine)
            await engine.start()
        fleet.start_daemons()
        await fleet.wait_ready()
        await asyncio.sleep(SETTLE_SECONDS)
        return await play(record, trouble, pool, fleet)


async def play(record, trouble, pool, fleet):
    names = list(fleet.daemons)
    luck = random.Random(7)
    tries, tasks = [], []
    for number in range(CHECKS):
        if number == CHECKS * 2 // 3 and trouble:
            reset_some(record, names[0], tries, luck)
        addresses = fleet.front(names[0]), fleet.front(names[1 + number % 2])
        tasks.append(asyncio.ensure_future(check(number, *addresses, tries)))
        await asyncio.sleep(CHECK_GAP_SECONDS)
    await asyncio.gather(*tasks)
    return judge(record, pool, tries)


def reset_some(record, name, tries, luck):
    """Reset a share of a VM's channels with clients."""
    there = [t for t in tries if t.in_progress]
    chosen = luck.sample(there, int(RESET_SHARE * len(there)))
    for attempt in chosen:
        attempt.reset()
    record.line(f"{name}: {len(chosen)} of its {len(there)} client channels are reset")


def judge(record, pool, tries):
    """CONFIG: no answer half a second after the route's timeout, at calm machines.

    Attempts whose channel the script has reset aren't judged.
    """
    late, answered = [], 0
    for attempt in tries:
        runs = [run for run in pool.runs if run.id == attempt.id]
        seconds = attempt.ended_at - attempt.sent_at if attempt.sent_at else 0.0
        record.line(
            f"slip check {attempt.id}, after event {attempt.last_event}: status "
            f"{attempt.answer.status}, events {attempt.events}, "
            f"{attempt.answer.ended} after {seconds:.3f} s; "
            f"runs: {[(r.engine, r.ended) for r in runs]}"
        )
        waited = seconds >= TIMEOUT_MS / 1000 + SLACK_SECONDS
        if attempt.answer.status == 0 and waited:
            late.append(attempt)
        elif attempt.answer.complete and seconds > TIMEOUT_MS / 1000:
            answered += 1
    record.line(
        f"unanswered at the route's timeout of {TIMEOUT_MS} ms: "
        f"{len(late) + answered}; of these without an answer "
        f"{int(SLACK_SECONDS * 1000)} ms later: {len(late)}"
    )
    for attempt in late:
        record.line(f"CONFIG: {attempt.id} has no answer")
    # Both forms of the rule: more than half; and eight or more, over a quarter.
    return len(late) >= 8 and len(late) > (len(late) + answered) / 2


if __name__ == "__main__":
    deployment.run_case(main, pathlib.Path(__file__).parent)
