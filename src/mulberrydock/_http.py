"""Helpers for JSON bodies over tornado's HTTP server and client."""

import ipaddress
import json

import tornado.httpclient
import tornado.web

from .exceptions import ResultCode


def split_address(address):
    """Split ``"host:port"`` into ``(host, port)`` with an integer port."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def check_address(address):
    """Check that ``address`` is an IPv4 address and a port, as ``host:port``.

    :raises ValueError: when it isn't.
    """
    host, _, port = address.rpartition(":")
    ipaddress.IPv4Address(host)
    # Digits of other scripts are decimal too, but no header has them.
    if not (port.isascii() and port.isdecimal() and 0 < int(port) < 65536):
        raise ValueError(f"expected IPv4:port, got {address!r:.40}")


def url(address, path):
    """Return ``http://address/path``."""
    return f"http://{address}{path}"


class JsonHandler(tornado.web.RequestHandler):
    """Base handler that reads and writes JSON bodies."""

    def json_body(self):
        """Return the parsed request body, ``{}`` when empty.

        :raises tornado.web.HTTPError: 400 when the body is not JSON.
        """
        if not self.request.body:
            return {}
        try:
            return json.loads(self.request.body)
        except ValueError as error:
            raise tornado.web.HTTPError(400, reason="body is not JSON") from error

    def send_json(self, document, status=200, code=ResultCode.OK):
        """Finish with ``document`` as JSON and the result code header."""
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.set_header("X-Result-Code", str(int(code)))
        self.finish(json.dumps(document))


async def fetch_json(client, method, address, path, body=None, timeout=2.0):
    """Send one JSON request and return ``(status, parsed_body)``.

    A non-2xx status is returned, not raised.

    :param timeout: seconds for the whole request.
    :raises tornado.httpclient.HTTPClientError: with code 599, or :class:`OSError`, when
        the connection fails or times out.
    """
    request = tornado.httpclient.HTTPRequest(
        url(address, path),
        method=method,
        body=None if body is None else json.dumps(body),
        headers={"Content-Type": "application/json"},
        connect_timeout=min(timeout, 1.0),
        request_timeout=timeout,
        allow_nonstandard_methods=True,
    )
    response = await client.fetch(request, raise_error=False)
    if response.code == 599:
        raise tornado.httpclient.HTTPClientError(599, str(response.error), response)
    parsed = json.loads(response.body) if response.body else {}
    return response.code, parsed
