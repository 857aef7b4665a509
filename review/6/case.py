"""A VM gets SIGTERM; a stream that is sent a little later than 3 s after it."""

import asyncio
import pathlib
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))

import lab as kit  # noqa: E402
from engines import Pool, event_of  # noqa: E402

TOKEN_BYTES, LINK_MBPS, SLOTS, STRIDE = 35136, 1100000, 64, 10
PROMPT, OUTPUT = 826, 290
#: Seconds between two events: half of the pause that the route allows.
INTERVAL = 0.2
GRACE = 8.0
#: Seconds after SIGTERM at which streams are sent; the rule's excuse ends at 3.
SENT_AFTER = (0.5, 3.06, 3.1, 3.14)


async def main(lab):
    engine = {"slots": SLOTS, "kv_tokens": 540686, "kv_token_bytes": TOKEN_BYTES}
    engine |= {"link_mbps": LINK_MBPS, "moves": True, "stride": STRIDE}
    lab.store.write(
        "op/config",
        {
            "version": 7,
            "routes": [
                kit.route(
                    "/letters/",
                    "streaming",
                    "renewal-llm",
                    target_gap_ms=400,
                    sticky_sessions=True,
                    resumable=False,
                    max_attempts=1,
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
    other = lab.daemon("front-yaba-hall-1")
    await daemon.wait_ready()
    await other.wait_ready()
    for number in range(3):
        await pool.add(f"i-llm-{number}", "ikeja-hall")
    for vm in (daemon, other):
        await vm.wait_ready([f'"instance":"i-llm-{n}"' for n in range(3)])
    ports = [(daemon.ports["front"], await open_channel(daemon)) for _ in SENT_AFTER]
    loop = asyncio.get_running_loop()
    started = loop.time()
    if lab.trouble:
        daemon.process.send_signal(signal.SIGTERM)
        lab.record.write("SIGTERM", vm=daemon.name)
    tasks = []
    for number, after in enumerate(SENT_AFTER):
        await asyncio.sleep(max(0.0, started + after - loop.time()))
        request_id = f"9c41d07be2a4{number:04x}"
        headers = kit.request_headers(
            request_id,
            10000,
            **{
                "X-Mulberrydock-Model": "m",
                "X-Mulberrydock-Token-Counts": f"{PROMPT},{OUTPUT}",
                "X-Mulberrydock-Prompt-Prefix": f"5c1e07a2:198,{number:04x}:628",
            },
        )
        lab.record.write("sent", id=request_id, after=round(loop.time() - started, 3))
        port, channel = ports[number]
        tasks.append(
            asyncio.ensure_future(
                kit.send(port, "POST", "/letters/2f", headers, b"{}", 10, channel)
            )
        )
    broken = 0
    for number, task in enumerate(tasks):
        answer = await task
        request_id = f"9c41d07be2a4{number:04x}"
        total = -(-OUTPUT // STRIDE)
        whole = b"".join(event_of(request_id, n) for n in range(1, total + 1))
        complete = answer.ended == "whole" and answer.status != 0
        wrong = not complete and SENT_AFTER[number] > 3
        broken += wrong
        lab.record.write(
            "answered",
            id=request_id,
            sent_after=SENT_AFTER[number],
            status=answer.status,
            channel=answer.ended,
            events=answer.body.count(b"\n\n"),
            of=total,
            whole=answer.body == whole,
            rule="BROKEN" if wrong else "held",
        )
    if lab.trouble:
        code = await asyncio.to_thread(daemon.process.wait, 5)
        lab.record.write("vm ended", code=code, after=round(loop.time() - started, 3))
    return broken


async def open_channel(daemon):
    return await asyncio.open_connection("127.0.0.1", daemon.ports["front"])


kit.run_case(main, HERE)
