"""An engine leaves while the links between engines are slow; its streams must move."""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))

import lab as kit  # noqa: E402
from engines import Pool, event_of  # noqa: E402

#: Figures of the engines and of one kind of request of SYSTEM.md (sctp-renewals).
TOKEN_BYTES, LINK_MBPS, SLOTS, STRIDE = 35136, 1100000, 64, 10
PROMPT, OUTPUT = 11992, 380
#: Seconds between two events: less than the 0.3 s that the sheet allows.
INTERVAL = 0.2
STREAMS = 40
#: Two of these, one in twenty, have no length and end with their channel.
UNFRAMED = (12, 16)
#: By how much kv_slow slows moves down.
SLOW = 8
#: Seconds for which a leaving engine serves on: drain_ms, and a little longer.
DRAIN_SECONDS = 2.5


def request_id_of(number):
    return f"9c41d07be2a3{number:04x}"


async def main(lab):
    engine = {
        "slots": SLOTS,
        "kv_tokens": 540686,
        "kv_token_bytes": TOKEN_BYTES,
        "link_mbps": LINK_MBPS,
        "moves": True,
        "backups": True,
        "stride": STRIDE,
        "most": 12,
        "kv_hold_s": 5.0,
        "role_switch_s": 3.0,
        "pin_ms": 4000.0,
        "hold_ms": 2000.0,
        "models": [{"name": "m"}],
    }
    lab.store.write(
        "op/config",
        {
            "version": 7,
            "routes": [
                kit.route(
                    "/letters/",
                    "streaming",
                    "renewal-llm",
                    timeout_ms=10000,
                    target_latency_ms=600,
                    target_gap_ms=300,
                    max_attempts=1,
                    sticky_sessions=True,
                    resumable=False,
                ),
            ],
            "services": [
                {
                    "name": "renewal-llm",
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
    pool = Pool(lab, "renewal-llm", SLOTS, TOKEN_BYTES, LINK_MBPS, STRIDE, INTERVAL)
    daemon = lab.daemon()
    await daemon.wait_ready()
    leaving = await pool.add("i-llm-1", "ikeja-hall")
    leaving.unframed_ids = {request_id_of(number) for number in UNFRAMED}
    await pool.add("i-llm-0", "ikeja-hall", stage="prefill")
    await daemon.wait_ready(['"instance":"i-llm-1"', '"instance":"i-llm-0"'])
    sends = {}
    for number in range(STREAMS):
        request_id = request_id_of(number)
        lab.record.write("sent", id=request_id)
        headers = kit.request_headers(
            request_id,
            10000,
            **{
                "X-Mulberrydock-Model": "m",
                "X-Mulberrydock-Token-Counts": f"{PROMPT},{OUTPUT}",
                "X-Mulberrydock-Prompt-Prefix": f"5c1e07a2:5382,{number:04x}:6610",
                "X-Mulberrydock-Length-Hint": str(OUTPUT),
            },
        )
        sends[request_id] = asyncio.ensure_future(
            kit.send(daemon.ports["front"], "POST", "/letters/2f", headers, b"{}", 11)
        )
        await asyncio.sleep(0.02)
    for number in (2, 3):
        await pool.add(f"i-llm-{number}", "ikeja-hall")
    await daemon.wait_ready(['"instance":"i-llm-2"', '"instance":"i-llm-3"'])
    await asyncio.sleep(0.5)
    if lab.trouble:
        leaving.link_factor = SLOW
        lab.record.write("moves of memory take longer (kv_slow)", at=leaving.name, x=SLOW)
    drain = asyncio.ensure_future(leaving.drain(DRAIN_SECONDS))
    broken = 0
    for request_id, task in sends.items():
        answer = await task
        broken += judge(lab, request_id, answer)
    await drain
    for row in daemon.log_rows("move"):
        fields = ("request", "copied_first", "estimate", "seconds", "outcome")
        lab.record.write("daemon's log, move", **{k: row[k] for k in fields})
    return broken


def judge(lab, request_id, answer):
    """Return whether an answer that looks complete lacks a piece of its stream."""
    total = -(-OUTPUT // STRIDE)
    whole = b"".join(event_of(request_id, n) for n in range(1, total + 1))
    success = answer.status == 200 and answer.ended == "whole"
    wrong = success and answer.body != whole
    lab.record.write(
        "answered",
        id=request_id,
        status=answer.status,
        channel=answer.ended,
        events=answer.body.count(b"\n\n"),
        of=total,
        rule="BROKEN" if wrong else "held",
    )
    return wrong


kit.run_case(main, HERE)
