"""A stand-in of one engine, a process of its own: engine.py ID HOST:PORT STAGE.

It reads settings as JSON lines on standard input ({"events": 40, ...}) and writes what
it received and did as JSON lines to standard output. Settings:

- events, interval: events of a complete stream, and seconds between two of them.
- unframed: share of the answers that have no length and no chunks and end with their
  connection.
- pause_after, pause: a stream pauses for so many seconds after that event (preempted).
- full: requests are refused as not executed.
- draining: its report says that it leaves.
- exit: the process ends at once.
"""

import asyncio
import json
import os
import sys
import time

import http1

ID = "X-Mulberrydock-Attempt-Id"
SIGNATURE = "X-Mulberrydock-Response-Signature"
NOT_EXECUTED = "X-Mulberrydock-Not-Executed"


def log(event, **fields):
    line = json.dumps({"t": round(time.time(), 4), "event": event, **fields})
    sys.stdout.write(line + "\n")
    sys.stdout.flush()


class Engine:
    def __init__(self, name, stage):
        self.name = name
        self.stage = stage
        self.running = {}
        self.orders = 0
        self.handles = 0
        self.settings = {
            "events": 20,
            "interval": 0.1,
            "unframed": 0.0,
            "pause_after": 0,
            "pause": 0.0,
            "full": False,
            "draining": False,
        }

    async def serve(self, reader, writer):
        try:
            while True:
                request = await http1.read_request(reader)
                if request is None or not await self._answer(request, reader, writer):
                    return
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, request, reader, writer):
        """Answer one request; return whether the connection is kept."""
        expected = request.header("X-Mulberrydock-Expect-Instance", self.name)
        own = {"X-Mulberrydock-Instance-Id": self.name}
        if expected != self.name:
            http1.write_response(writer, 421, own)
        elif request.target == "/report":
            http1.write_response(writer, 200, own, json.dumps(self._report()).encode())
        elif request.target == "/order":
            order = json.loads(request.body)
            log("order", **order)
            same = order.get("expected", self.orders) == self.orders
            if same:
                self.orders += 1
                self.stage = order["stage"]
            http1.write_response(writer, 202 if same else 409, own)
        elif request.target.startswith("/kv-handle/"):
            http1.write_response(writer, 200, own)
        elif request.target == "/kv-move":
            # Not played: a test in which a run is moved can't run.
            log("move", **json.loads(request.body))
            http1.write_response(writer, 404, own)
        else:
            return await self._serve(request, reader, writer)
        return True

    def _report(self):
        return {
            "stage": self.stage,
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": False,
            "sequence": self.orders,
            "queued": 0,
            "running": len(self.running),
            "kv_used": 1000,
            "kv_total": 540686,
            "kv_handles": 0,
            "state": "draining" if self.settings["draining"] else "ready",
            "next": 0,
            "runs": [[i, 800 + made, made, 1] for i, made in self.running.items()],
        }

    async def _serve(self, request, reader, writer):
        request_id = request.header(ID)
        if self.settings["full"]:
            log("refused", id=request_id)
            http1.write_response(writer, 503, {ID: request_id, NOT_EXECUTED: "1"})
            return True
        if request.header("X-Mulberrydock-Stage") == "prefill":
            self.handles += 1
            answer = {"kv_handle": f"h{self.handles}", "tokens": 800, "version": 1}
            log("prefill", id=request_id)
            await asyncio.sleep(0.02)
            body = json.dumps(answer).encode()
            http1.write_response(writer, 200, {ID: request_id}, body)
            return True
        headers = {ID: request_id, SIGNATURE: f"{self.name}.{request_id}"}
        if not self.stage:
            log("run", id=request_id)
            await asyncio.sleep(0.045)
            log("done", id=request_id)
            http1.write_response(writer, 200, headers, b"r" * 800)
            return True
        return await self._stream(request, headers, reader, writer)

    async def _stream(self, request, headers, reader, writer):
        request_id, settings = request.header(ID), dict(self.settings)
        last = int(request.header("Last-Event-Id", "0"))
        log("run", id=request_id, after=last, of=settings["events"])
        headers = dict(headers, **{"Content-Type": "text/event-stream"})
        unframed = int(request_id[:8], 16) / 2**32 < settings["unframed"]
        if not unframed:
            headers["Transfer-Encoding"] = "chunked"
        writer.write(http1.head(200, headers))
        gone = asyncio.ensure_future(reader.read(1))
        self.running[request_id] = last
        try:
            for number in range(last + 1, settings["events"] + 1):
                event = b"id: %d\ndata: %s piece %d\n\n" % (
                    number,
                    request_id.encode(),
                    number,
                )
                writer.write(event if unframed else http1.chunk(event))
                await writer.drain()
                self.running[request_id] = number
                seconds = settings["interval"]
                if number == settings["pause_after"]:
                    log("preempted", id=request_id, after=number, s=settings["pause"])
                    seconds = settings["pause"]
                done, _ = await asyncio.wait([gone], timeout=seconds)
                if done:
                    log("channel closed", id=request_id, after=number)
                    return False
            if not unframed:
                writer.write(b"0\r\n\r\n")
            log("done", id=request_id, after=settings["events"])
            await writer.drain()
        finally:
            self.running.pop(request_id, None)
            gone.cancel()
            await asyncio.wait([gone])
        return not unframed


async def main():
    name, address, stage = sys.argv[1:4]
    engine = Engine(name, stage)
    host, _, port = address.partition(":")
    await asyncio.start_server(engine.serve, host, int(port))
    loop = asyncio.get_running_loop()
    commands = asyncio.StreamReader()
    protocol = asyncio.StreamReaderProtocol(commands)
    await loop.connect_read_pipe(lambda: protocol, sys.stdin)
    log("started", id=name)
    while line := await commands.readline():
        command = json.loads(line)
        if command.pop("exit", False):
            log("exits", runs=list(engine.running))
            os._exit(0)
        engine.settings.update(command)


asyncio.run(main())
