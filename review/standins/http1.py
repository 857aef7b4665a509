"""A small HTTP/1.1 server and client on asyncio streams, for the stand-ins.

The server lets a handler write any bytes and tells it when the peer closes.
"""

import asyncio

REASONS = {200: "OK", 202: "Accepted", 404: "Not Found", 409: "Conflict"}
REASONS |= {410: "Gone", 412: "Precondition Failed", 421: "Misdirected Request"}
REASONS |= {503: "Service Unavailable", 504: "Gateway Timeout"}


class Headers(dict):
    """Headers by lower-case name; the last value of a name counts."""

    def of(self, name, default=""):
        return self.get(name.lower(), default)


def head(start, headers):
    lines = [start] + [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin1")


def response_head(status, headers):
    return head(f"HTTP/1.1 {status} {REASONS.get(status, 'Unknown')}", headers)


def whole_response(status, headers, body=b""):
    return response_head(status, headers | {"Content-Length": len(body)}) + body


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


LAST_CHUNK = b"0\r\n\r\n"


class Buffer:
    """Reads a stream; notices its end while nothing is being read."""

    def __init__(self, reader):
        self.reader = reader
        self.data = b""
        self.ended = False
        self.news = asyncio.Event()
        self.task = asyncio.ensure_future(self._pump())

    async def _pump(self):
        try:
            while True:
                data = await self.reader.read(65536)
                if not data:
                    break
                self.data += data
                self.news.set()
        except (OSError, asyncio.CancelledError):
            pass
        self.ended = True
        self.news.set()

    async def _more(self):
        if self.ended:
            raise EOFError
        self.news.clear()
        await self.news.wait()

    async def until(self, mark):
        while mark not in self.data:
            await self._more()
        found, _, self.data = self.data.partition(mark)
        return found

    async def exactly(self, count):
        while len(self.data) < count:
            await self._more()
        found, self.data = self.data[:count], self.data[count:]
        return found

    async def at_end(self):
        while not self.ended:
            self.news.clear()
            await self.news.wait()


async def read_head(buffer):
    lines = (await buffer.until(b"\r\n\r\n")).decode("latin1").split("\r\n")
    headers = Headers()
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(buffer, headers):
    if "chunked" in headers.of("Transfer-Encoding"):
        body = b""
        while True:
            size = int((await buffer.until(b"\r\n")).split(b";")[0], 16)
            body += await buffer.exactly(size)
            await buffer.exactly(2)
            if not size:
                return body
    return await buffer.exactly(int(headers.of("Content-Length", "0")))


class Request:
    """One request that a server has read, and the channel on which to answer."""

    def __init__(self, channel, start, headers, body):
        self.channel = channel
        self.method, self.target, _ = start.split(" ", 2)
        self.path, _, self.query = self.target.partition("?")
        self.headers = headers
        self.body = body

    def write(self, data):
        self.channel.writer.write(data)

    def respond(self, status, headers=None, body=b""):
        self.write(whole_response(status, headers or {}, body))

    def close(self):
        self.channel.close()

    def reset(self):
        self.channel.writer.transport.abort()


class Channel:
    """One accepted connection. ``state`` is for the server's own notes."""

    def __init__(self, reader, writer):
        self.buffer = Buffer(reader)
        self.writer = writer
        self.closed = False
        self.state = {}

    def close(self):
        self.closed = True
        self.writer.close()


class Server:
    """Serves ``handler(request)``; the handler is cancelled when the peer closes."""

    def __init__(self, address, handler):
        self.host, _, port = address.rpartition(":")
        self.port = int(port)
        self.handler = handler
        self.channels = set()
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self._serve, self.host, self.port)

    def stop(self):
        """Refuse new connections and close the open ones."""
        self.server.close()
        for channel in list(self.channels):
            channel.close()

    async def _serve(self, reader, writer):
        channel = Channel(reader, writer)
        self.channels.add(channel)
        try:
            while not channel.closed:
                start, headers = await read_head(channel.buffer)
                body = await read_body(channel.buffer, headers)
                await self._answer(channel, Request(channel, start, headers, body))
        except (EOFError, OSError, asyncio.CancelledError):
            pass
        finally:
            self.channels.discard(channel)
            channel.buffer.task.cancel()
            writer.close()

    async def _answer(self, channel, request):
        task = asyncio.ensure_future(self.handler(request))
        end = asyncio.ensure_future(channel.buffer.at_end())
        await asyncio.wait([task, end], return_when=asyncio.FIRST_COMPLETED)
        end.cancel()
        if not task.done():
            task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        if not task.cancelled() and task.exception() is not None:
            raise task.exception()


class Answer:
    """What a client received.

    ``complete`` says whether the response reached its end; ``status`` is 0 without
    one.
    """

    def __init__(self):
        self.status = 0
        self.headers = Headers()
        self.body = b""
        self.complete = False
        self.ended = ""


class Client:
    """One client connection, used for one request after the other."""

    def __init__(self, address):
        self.host, _, port = address.rpartition(":")
        self.port = int(port)
        self.buffer = self.writer = None

    async def connect(self):
        reader, self.writer = await asyncio.open_connection(self.host, self.port)
        self.buffer = Buffer(reader)

    def send(self, method, target, headers, body=b""):
        fields = dict(headers)
        if body or method == "POST":
            fields["Content-Length"] = len(body)
        self.writer.write(head(f"{method} {target} HTTP/1.1", fields) + body)

    async def receive(self, answer, on_data=lambda answer: None):
        """Read one response into ``answer``."""
        try:
            start, answer.headers = await read_head(self.buffer)
            answer.status = int(start.split(" ")[1])
            if "chunked" not in answer.headers.of("Transfer-Encoding"):
                answer.body = await read_body(self.buffer, answer.headers)
                answer.complete = True
                answer.ended = "whole"
                return answer
            while True:
                size = int((await self.buffer.until(b"\r\n")).split(b";")[0], 16)
                answer.body += await self.buffer.exactly(size)
                await self.buffer.exactly(2)
                if not size:
                    answer.complete = True
                    answer.ended = "whole"
                    return answer
                on_data(answer)
        except (EOFError, OSError) as error:
            answer.ended = f"channel ended ({type(error).__name__})"
        return answer

    def close(self):
        if self.buffer is not None:
            self.buffer.task.cancel()
        if self.writer is not None:
            self.writer.close()
