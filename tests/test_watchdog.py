"""A process whose event loop no longer turns is ended, a paused one isn't."""

import json
import signal
import subprocess
import sys
import time

import pytest

from mulberrydock.watchdog import EXIT_BLOCKED, MAX_MISSED_CHECKS, Watchdog

MAX_SECONDS = 1.0
INTERVAL_SECONDS = 0.05
NO_TIMER = """
import signal


def refuse(which, seconds):
    raise signal.ItimerError(22, "Invalid argument")


signal.setitimer = refuse
"""
PROGRAM = """
import asyncio
import sys
import time

from mulberrydock import log
from mulberrydock.watchdog import Watchdog

log.configure("vm")


async def spin():
    done = asyncio.get_running_loop().create_future()
    done.set_result(None)
    while True:
        await asyncio.shield(done)


async def work():
    # Turns the event loop all the time.
    end = time.process_time() + 2.5 * {max_seconds}
    while time.process_time() < end:
        await asyncio.sleep(0)


async def main():
    Watchdog({max_seconds}, {interval}).start()
    print("started", flush=True)
    await {function}()
    print("ended", flush=True)


asyncio.run(main())
"""


def start(function, preamble=""):
    program = preamble + PROGRAM.format(
        function=function, max_seconds=MAX_SECONDS, interval=INTERVAL_SECONDS
    )
    process = subprocess.Popen(
        [sys.executable, "-c", program], stdout=subprocess.PIPE, text=True
    )
    assert process.stdout.readline() == "started\n"
    return process


# Guards against a VM that holds its requests for good: its event loop stands still, it
# ignores SIGTERM, and nothing starts it again.
def test_process_whose_event_loop_is_blocked_ends_with_the_stack():
    process = start("spin")
    output, _ = process.communicate(timeout=60)
    row = json.loads(output)
    assert process.returncode == EXIT_BLOCKED
    assert row["event"] == "event loop blocked"
    assert any("in spin" in line for line in row["stack"])


# Guards against a VM that nothing ends where the system has no timer of processor time.
def test_blocked_process_ends_without_a_timer():
    process = start("spin", NO_TIMER)
    process.communicate(timeout=60)
    assert process.returncode == EXIT_BLOCKED


# Guards against a watchdog that ends a sound process: one that was paused or has little
# of its processor is late, but turns.
@pytest.mark.parametrize(
    "turns, seconds, is_blocked",
    [
        ([0] * MAX_MISSED_CHECKS, 1.0, True),
        ([0] * (MAX_MISSED_CHECKS - 1), 9.0, False),
        ([0] * (MAX_MISSED_CHECKS - 1) + [1] + [0] * 9, 9.0, False),
        ([0] * MAX_MISSED_CHECKS, 0.05, False),
        ([0] * 101, 0.05, True),
    ],
)
def test_process_is_blocked_after_many_checks_and_much_processor_time(
    turns, seconds, is_blocked
):
    watchdog, now = Watchdog(5.0), 100.0
    watchdog.turns = 1
    assert not watchdog.is_blocked(now)
    found = []
    for count in turns:
        now += seconds
        watchdog.turns += count
        found.append(watchdog.is_blocked(now))
    assert found[-1] is is_blocked and not any(found[:-1])


# Guards against a watchdog that ends sound processes: paused by the platform or busy.
@pytest.mark.parametrize("paused", [False, True])
def test_process_whose_event_loop_turns_is_not_ended(paused):
    process = start("work")
    if paused:
        process.send_signal(signal.SIGSTOP)
        time.sleep(2 * MAX_SECONDS)
        process.send_signal(signal.SIGCONT)
    output, _ = process.communicate(timeout=60)
    assert (process.returncode, output) == (0, "ended\n")
