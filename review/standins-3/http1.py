"""Just enough HTTP/1.1 for the stand-ins: requests and responses over asyncio."""

import asyncio
import dataclasses


@dataclasses.dataclass
class Request:
    method: str
    target: str
    headers: dict
    body: bytes = b""

    def header(self, name, default=""):
        return self.headers.get(name.lower(), default)


async def _read_head(reader):
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    first, *lines = head.decode("latin1")[:-4].split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_request(reader):
    """Return the next :class:`Request`, None at the end of the connection."""
    head = await _read_head(reader)
    if head is None:
        return None
    first, headers = head
    method, target, _ = first.split(" ")
    body = b""
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b"".join([chunk async for chunk in read_chunks(reader)])
    elif int(headers.get("content-length", 0)):
        body = await reader.readexactly(int(headers["content-length"]))
    return Request(method, target, headers, body)


async def read_chunks(reader):
    """Yield the chunks of a chunked body to its end."""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if not size:
            return
        yield data[:-2]


def head(status, headers, reason="X"):
    lines = [f"HTTP/1.1 {status} {reason}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin1")


def write_response(writer, status, headers, body=b""):
    fields = dict(headers, **{"Content-Length": len(body)})
    writer.write(head(status, fields) + body)


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


@dataclasses.dataclass
class Response:
    """What a client got: ``end`` is "complete", "cut" or "none" (no answer)."""

    status: int = 0
    headers: dict = dataclasses.field(default_factory=dict)
    body: bytes = b""
    end: str = "none"


async def fetch(reader, writer, request, on_data=None):
    """Send ``request`` on an open connection and return its :class:`Response`."""
    fields = dict(request.headers)
    if request.body or request.method == "POST":
        fields["Content-Length"] = len(request.body)
    lines = [f"{request.method} {request.target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin1") + request.body)
    response = Response()
    try:
        await writer.drain()
        found = await _read_head(reader)
        if found is None:
            return response
        response.status = int(found[0].split(" ")[1])
        response.headers = found[1]
        response.end = "cut"
        if "chunked" in response.headers.get("transfer-encoding", ""):
            async for data in read_chunks(reader):
                response.body += data
                if on_data:
                    on_data(data)
        else:
            length = int(response.headers.get("content-length", 0))
            response.body = await reader.readexactly(length)
        response.end = "complete"
    except (ConnectionError, asyncio.IncompleteReadError):
        pass
    return response
