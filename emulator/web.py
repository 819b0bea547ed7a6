"""A minimal HTTP/1.1 server and client on asyncio for the platform's interfaces."""

import asyncio
import contextlib
import json
import urllib.parse

MAX_BODY = 4 * 1024 * 1024
SILENT_S = 600  # Time for which a connection stays open after NoAnswer.


class Request:
    """One request: method, path, query, headers in lower case, body."""

    def __init__(self, method, target, headers, body):
        self.method = method
        self.path, _, query = target.partition("?")
        self.query = dict(urllib.parse.parse_qsl(query))
        self.headers = headers
        self.body = body

    def json(self):
        return json.loads(self.body or b"{}")


class NoAnswer(Exception):
    """A handler raises this to leave a request unanswered; the connection stays open."""


async def read_message(reader):
    """Returns the first line, the headers and the body. Raises IncompleteReadError at the end of the stream."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    if length > MAX_BODY:
        raise ValueError("body is too large")
    return lines[0], headers, await reader.readexactly(length)


async def serve(handler, host="127.0.0.1", port=0):
    """Starts a server and returns it with its port. `handler` takes a Request and returns a status and a body,
    which is bytes or an object to encode as JSON. Port 0 takes a free port."""

    async def on_connection(reader, writer):
        try:
            while True:
                line, headers, body = await read_message(reader)
                method, target, _ = line.split(" ", 2)
                status, answer = await handler(Request(method, target, headers, body))
                if not isinstance(answer, bytes):
                    answer = json.dumps(answer).encode()
                writer.write(b"HTTP/1.1 %d x\r\nContent-Length: %d\r\n\r\n" % (status, len(answer)) + answer)
                await writer.drain()
        except NoAnswer:
            with contextlib.suppress(asyncio.CancelledError):
                await asyncio.sleep(SILENT_S)
        except (asyncio.IncompleteReadError, ConnectionError, ValueError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(on_connection, host, port, limit=MAX_BODY)
    return server, server.sockets[0].getsockname()[1]


async def connect(port):
    """Opens a connection for exchange(). Returns its reader and writer."""
    return await asyncio.open_connection("127.0.0.1", port, limit=MAX_BODY)


async def exchange(connection, method, target, body=None, headers=None):
    """Sends one request on an open connection. Returns status, headers and body."""
    reader, writer = connection
    data = b"" if body is None else json.dumps(body).encode()
    lines = [f"{method} {target} HTTP/1.1", f"Content-Length: {len(data)}", "Content-Type: application/json"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + data)
    await writer.drain()
    line, answered, answer = await read_message(reader)
    return int(line.split(" ")[1]), answered, answer


async def call(port, method, target, body=None, headers=None, timeout=3.0):
    """Sends one request on a new connection. Returns status, headers and body. Raises OSError, TimeoutError or
    EOFError if no complete answer arrives."""

    async def call_once():
        connection = await connect(port)
        try:
            return await exchange(connection, method, target, body, headers)
        finally:
            connection[1].close()

    try:
        return await asyncio.wait_for(call_once(), timeout)
    except asyncio.TimeoutError as error:
        raise TimeoutError(f"{method} {target}") from error
