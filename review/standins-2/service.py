"""An application engine as a process of its own: ``service.py ID LOG``.

It prints its address, answers each request with 800 bytes that have no length and end
with the channel, and writes to LOG what it ran. It sends the second half of an answer
``HALF_SECONDS`` after the first one.
"""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

from lab import PREFIX, Server, response, signature  # noqa: E402

HALF_SECONDS = 0.3


def body_of(request_id):
    """Return the whole body of the answer to a request: 800 bytes."""
    return (f"receipt {request_id} " * 100)[:800].encode()


class Service(Server):
    def __init__(self, name, log):
        self.name, self.log = name, open(log, "a")

    async def handle(self, request, reader, writer):
        method, target, headers, _ = request
        request_id = headers.get(f"{PREFIX}Attempt-Id".lower(), "")
        if target == "/health":
            writer.write(response(200, headers=[(f"{PREFIX}Instance-Id", self.name)]))
            return True
        if headers.get(f"{PREFIX}Expect-Instance".lower(), self.name) != self.name:
            writer.write(response(421, headers=[(f"{PREFIX}Instance-Id", self.name)]))
            return True
        if not request_id:
            writer.write(response(400, headers=[(f"{PREFIX}Not-Executed", "1")]))
            return True
        self.log.write(f"{time.time():.3f} {self.name} runs {request_id}\n")
        self.log.flush()
        body = body_of(request_id)
        head = (
            "HTTP/1.1 200 OK\r\n"
            f"{PREFIX}Attempt-Id: {request_id}\r\n"
            f"{PREFIX}Response-Signature: {signature(request_id)}\r\n"
            "Connection: close\r\n\r\n"
        )
        writer.write(head.encode() + body[:400])
        await writer.drain()
        await asyncio.sleep(HALF_SECONDS)
        writer.write(body[400:])
        await writer.drain()
        return False


async def main(name, log):
    service = Service(name, log)
    await service.start()
    print(service.address, flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main(*sys.argv[1:]))
