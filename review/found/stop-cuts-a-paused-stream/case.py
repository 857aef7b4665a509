"""A stopping VM cuts a letter whose engine has preempted it for a second."""

import asyncio
import pathlib
import signal
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parents[1] / "standins-3"))

import lab as labs  # noqa: E402

VM = "front-ikeja-hall-1"
EVENTS = 38
INTERVAL_SECONDS = 0.08
PREEMPTED_AFTER = 12
PREEMPTED_SECONDS = 1.2


async def test(lab, trouble):
    await lab.start(daemons=3, prefill=2, decode=3)
    pause = PREEMPTED_SECONDS if trouble else 0.0
    for engine in lab.decoders():
        engine.set(events=EVENTS, interval=INTERVAL_SECONDS)
        engine.set(pause_after=PREEMPTED_AFTER if trouble else 0, pause=pause)
    await asyncio.sleep(1.0)
    channel = await lab.connect(VM)
    letter = asyncio.ensure_future(
        lab.send(channel, labs.LETTERS, tokens=1200, output=EVENTS, limit_ms=10000)
    )
    runs = lambda: [e for e in lab.decoders() if any("after" in r for r in e.lines)]
    await lab.until(runs, "an engine runs the letter")
    source = runs()[0]
    # The other decode engines are full: they refuse, and say that nothing has run.
    for engine in lab.decoders():
        if engine is not source:
            engine.set(full=True)
    await asyncio.sleep(0.3)
    lab.note("platform", sigterm=VM)
    stopped_at = time.monotonic()
    lab.daemons[VM]["process"].send_signal(signal.SIGTERM)
    request_id, response = await letter
    seconds = time.monotonic() - stopped_at
    await asyncio.sleep(PREEMPTED_SECONDS)
    broken_off = not (source.events("channel closed", request_id) or source.events("done", request_id))
    if broken_off or response.status != 200:
        raise labs.CannotRun(f"status {response.status}, engine {source.lines}")
    # Not counted would be: the engine broke off, the time limit or the route's timeout
    # (10 s each) was reached, or the engine was at work in the last sixth of grace_s.
    lost = response.end != "complete" and seconds < labs.GRACE_SECONDS * 5 / 6
    lab.note("judge", request=request_id, end=response.end, after_sigterm=round(seconds, 3))
    return not lost


labs.run(test, HERE / "record.txt")
