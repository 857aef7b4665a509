"""An engine crashes now and then; its streams are sent on to other engines at once."""

import asyncio
import os
import pathlib
import signal
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))

import lab as kit  # noqa: E402
from engines import Pool  # noqa: E402

#: Figures of apuc-interp's engines.
TOKEN_BYTES, LINK_MBPS, SLOTS, STRIDE = 163840, 2000000, 64, 11
TIMEOUT = 5.0
#: Seconds between two events of a stream, and events of a stream.
INTERVAL, EVENTS = 0.15, 27
#: Requests a second to the VM, evenly spaced: half of the site's.
RATE = 28.0
#: Seconds in which the rate rises to that.
RISE = 8.0
#: Seconds from one crash to the next one, seconds that one lasts, and their number.
CRASH_EVERY, CRASH_SECONDS, CRASHES = 4.5, 2.0, 12
#: Seconds in which requests are still sent once a VM is found silent, or at the end.
TAIL = 4.0


class Load:
    """Requests to one VM, and what became of them."""

    def __init__(self, lab, daemon, seed):
        self.lab, self.daemon = lab, daemon
        self.number, self.seed, self.without_channel = 0, seed, 0
        self.tasks, self.rows = [], []
        self.running = True

    async def run(self):
        started = time.monotonic()
        while self.running:
            share = min(1.0, 0.1 + (time.monotonic() - started) / RISE)
            await asyncio.sleep(1 / (RATE * share))
            self.tasks.append(asyncio.ensure_future(self.send()))

    async def send(self):
        self.number += 1
        request_id = f"9c41{self.seed:04x}{self.number:08x}"
        headers = kit.request_headers(
            request_id,
            5000,
            **{
                "X-Mulberrydock-Model": "m",
                "X-Mulberrydock-Token-Counts": f"1460,{EVENTS * STRIDE}",
                "X-Mulberrydock-Prompt-Prefix": f"5c1e07a2:350,{self.number:x}:1110",
            },
        )
        port = self.daemon.ports["front"]
        try:
            # Requesters allow a new channel one second.
            opened = asyncio.open_connection("127.0.0.1", port)
            channel = await asyncio.wait_for(opened, 1)
        except (OSError, asyncio.TimeoutError):
            self.without_channel += 1
            return
        sent_at = time.monotonic()
        body = request_id.encode()
        answer = await kit.send(
            port, "POST", "/tags/2f", headers, body, TIMEOUT + 2, channel
        )
        channel[1].close()
        seconds = time.monotonic() - sent_at
        self.rows.append((request_id, answer.status, answer.ended, seconds))


async def watch(lab, daemon):
    """Ask once a second whether the VM is ready; return once it didn't say for 3 s."""
    while True:
        try:
            await asyncio.wait_for(kit.get(daemon.ports["ready"], "/ready"), 3)
        except (OSError, asyncio.TimeoutError, IndexError) as error:
            lab.record.write("no answer to GET /ready", vm=daemon.name, error=repr(error))
            return daemon
        await asyncio.sleep(1)


async def disturb(lab, pool):
    engines = [e for e in pool.engines.values() if e.name != "i-interp-0"]
    for number in range(CRASHES):
        await asyncio.sleep(CRASH_EVERY)
        if lab.trouble:
            crash = engines[number % len(engines)].crash(CRASH_SECONDS)
            lab.crash = asyncio.ensure_future(crash)


async def main(lab):
    engine = {"slots": SLOTS, "kv_tokens": 563128, "kv_token_bytes": TOKEN_BYTES}
    engine |= {"link_mbps": LINK_MBPS, "moves": True, "stride": STRIDE}
    lab.store.write(
        "op/config",
        {
            "version": 7,
            "routes": [
                kit.route(
                    "/tags/",
                    "streaming",
                    "interp-models",
                    timeout_ms=int(TIMEOUT * 1000),
                    target_latency_ms=300,
                    target_gap_ms=150,
                    sticky_sessions=True,
                    resumable=True,
                )
            ],
            "services": [
                {
                    "name": "interp-models",
                    "health_path": "/health",
                    "max_connections": 370,
                    "protocol": "h1",
                    "tls": False,
                    "engine": engine,
                }
            ],
            "limits": kit.LIMITS,
        },
    )
    pool = Pool(
        lab, "interp-models", SLOTS, TOKEN_BYTES, LINK_MBPS, STRIDE, INTERVAL
    )
    pool.states_birth = True
    daemons = [lab.daemon("front-regina-a-1")]
    for daemon in daemons:
        await daemon.wait_ready()
    for number in range(4):
        stage = "decode" if number else "prefill"
        await pool.add(f"i-interp-{number}", "regina-a", stage)
    for daemon in daemons:
        await daemon.wait_ready([f'"instance":"i-interp-{n}@' for n in range(4)])
    loads = [Load(lab, daemon, n) for n, daemon in enumerate(daemons, 1)]
    runs = [asyncio.ensure_future(load.run()) for load in loads]
    await asyncio.sleep(RISE)
    watches = [asyncio.ensure_future(watch(lab, daemon)) for daemon in daemons]
    disturbance = asyncio.ensure_future(disturb(lab, pool))
    await asyncio.wait([*watches, disturbance], return_when=asyncio.FIRST_COMPLETED)
    silent = [task.result() for task in watches if task.done()]
    disturbance.cancel()
    await asyncio.sleep(TAIL)
    for load in loads:
        load.running = False
    await asyncio.gather(*runs)
    broken = 0
    for load in loads:
        await asyncio.gather(*load.tasks)
        broken += judge(lab, load)
    for daemon in silent:
        await end(lab, daemon)
    return broken


def judge(lab, load):
    """Return whether the VM left requests unanswered at their route's timeout."""
    late = [row for row in load.rows if row[3] >= TIMEOUT]
    unanswered = [row for row in late if row[3] > TIMEOUT + 0.5 and not row[1]]
    for request_id, status, ended, seconds in load.rows:
        if seconds >= TIMEOUT or ended != "whole":
            lab.record.write(
                "answered" if status else "no answer",
                id=request_id,
                status=status,
                channel=ended,
                seconds=round(seconds, 3),
            )
    broken = len(unanswered) >= 8 and len(unanswered) > len(late) / 2
    lab.record.write(
        "requests",
        vm=load.daemon.name,
        sent=len(load.rows),
        without_channel=load.without_channel,
        unanswered_at_timeout=len(late),
        unanswered_half_a_second_later=len(unanswered),
        rule="BROKEN" if broken else "held",
    )
    return broken


async def end(lab, daemon):
    """Show what a silent VM does and what becomes of it when it is told to stop."""
    stat = pathlib.Path(f"/proc/{daemon.process.pid}/stat")
    ticks = [int(n) for n in stat.read_text().rsplit(") ", 1)[1].split()[11:13]]
    await asyncio.sleep(1)
    after = [int(n) for n in stat.read_text().rsplit(") ", 1)[1].split()[11:13]]
    busy = (sum(after) - sum(ticks)) / os.sysconf("SC_CLK_TCK")
    lab.record.write("silent VM", vm=daemon.name, processor_seconds_in_1_s=busy)
    daemon.process.send_signal(signal.SIGTERM)
    lab.record.write("SIGTERM", vm=daemon.name)
    for _ in range(80):
        if daemon.process.poll() is not None:
            break
        await asyncio.sleep(0.1)
    lab.record.write("after grace_s", vm=daemon.name, ended=daemon.process.poll())


kit.run_case(main, HERE)
