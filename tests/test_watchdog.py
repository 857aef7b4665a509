"""A process whose event loop no longer turns is ended, a paused one isn't."""

import asyncio
import json
import signal
import subprocess
import sys
import time

import pytest

from mulberrydock.watchdog import EXIT_BLOCKED, Watchdog

MAX_SECONDS = 1.0
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
    Watchdog({max_seconds}).start()
    print("started", flush=True)
    await {function}()
    print("ended", flush=True)


asyncio.run(main())
"""


def start(function):
    program = PROGRAM.format(function=function, max_seconds=MAX_SECONDS)
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


# Guards against a VM that doesn't start where the system has no such timer.
def test_process_starts_without_a_timer(monkeypatch):
    def refuse(which, seconds):
        raise signal.ItimerError(22, "Invalid argument")

    async def start_and_turn():
        Watchdog().start()
        await asyncio.sleep(0)

    monkeypatch.setattr(signal, "setitimer", refuse)
    asyncio.run(start_and_turn())


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
