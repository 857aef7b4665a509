"""All engines of a service crash while they send answers that have no length."""

import asyncio
import pathlib
import subprocess
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parents[1] / "standins-2"))

import lab as kit  # noqa: E402
import service  # noqa: E402

ENGINES = ("i-reg-1", "i-reg-2", "i-reg-3")
ZONES = ("ikeja-hall", "yaba-hall", "lekki-hall")
ROUNDS = 3


def start_engines(lab, lives):
    """Start the three engines, each with a new id, and register them."""
    children, records = [], {}
    for engine, zone in zip(ENGINES, ZONES):
        name = f"{engine}-{lives}"
        child = subprocess.Popen(
            [sys.executable, str(HERE.parents[1] / "standins-2" / "service.py"), name]
            + [f"{lab.folder}/{name}.log"],
            stdout=subprocess.PIPE,
            text=True,
        )
        lab.children.append(child)
        children.append(child)
        records[name] = {
            "service": "pass-registry",
            "address": child.stdout.readline().strip(),
            "zone": zone,
            "version": "v1",
            "slots": 6,
            "state": "ready",
            "cold_remaining_ms": 0,
            "sequence": 1,
        }
    for name, record in records.items():
        lab.store.write(f"servers/{name}", record)
        lab.record.write("engine started", id=name, address=record["address"])
    return children, list(records)


async def main(lab):
    lab.store.write(
        "op/config",
        {
            "version": 7,
            "routes": [
                kit.route(
                    "/receipts/",
                    "non_idempotent",
                    "pass-registry",
                    timeout_ms=1000,
                    target_latency_ms=200,
                    max_attempts=1,
                ),
            ],
            "services": [
                {
                    "name": "pass-registry",
                    "health_path": "/health",
                    "max_connections": 110,
                    "protocol": "h1",
                    "tls": False,
                }
            ],
            "limits": kit.LIMITS,
        },
    )
    daemon = lab.daemon()
    await daemon.wait_ready()
    broken = 0
    for number in range(ROUNDS):
        broken += await play_round(lab, daemon, number)
    return broken


async def play_round(lab, daemon, number):
    children, names = start_engines(lab, number)
    await daemon.wait_ready([f'"instance":"{name}"' for name in names])
    ids = [f"9c41d07b{number:04x}{i:04x}" for i in range(3)]
    sends = []
    for request_id in ids:
        lab.record.write("sent", id=request_id)
        headers = kit.request_headers(request_id, 1000)
        sends.append(
            asyncio.ensure_future(
                kit.send(daemon.ports["front"], "POST", "/receipts/2f", headers, b"{}", 3)
            )
        )
        await asyncio.sleep(0.03)
    await asyncio.sleep(0.06)
    if lab.trouble:
        for child in children:
            child.kill()
        lab.record.write("all engines killed (SIGKILL)", ids=",".join(names))
    answers = await asyncio.gather(*sends)
    for name in names:
        for line in open(f"{lab.folder}/{name}.log"):
            lab.record.write("ran", line=line.strip())
    broken = 0
    for request_id, answer in zip(ids, answers):
        whole = answer.body == service.body_of(request_id)
        success = 200 <= answer.status < 300 and answer.ended == "whole"
        wrong = success and not whole
        broken += wrong
        lab.record.write(
            "answered",
            id=request_id,
            status=answer.status,
            channel=answer.ended,
            length=answer.headers.get("content-length"),
            bytes=len(answer.body),
            engine_body_whole=whole,
            rule="BROKEN" if wrong else "held",
        )
    # As the platform does: entries go after three heartbeats of silence.
    for child in children:
        child.kill()
        child.wait()
    await asyncio.sleep(3.6)
    for name in names:
        lab.store.remove(f"servers/{name}")
    await asyncio.sleep(1)
    return broken


kit.run_case(main, HERE)
