"""A small HTTP/1.1 server and client for the stand-ins: whole requests, whole answers."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import Any, NamedTuple

__all__ = ["Answer", "Call", "request", "serve"]


class Call(NamedTuple):
    """One request as a server received it."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes


class Answer(NamedTuple):
    """What a client got: a status, or 0 and why there is no complete answer."""

    status: int
    body: bytes
    reason: str = ""

    def json(self) -> Any:
        """Return the body as JSON values, an empty object if it is none."""
        try:
            return json.loads(self.body or b"{}")
        except ValueError:
            return {}


async def serve(
    address: str,
    handle: Callable[[Call], Awaitable[tuple[int, dict]]],
    writers: set[asyncio.StreamWriter],
) -> asyncio.Server:
    """Listen at an address; `handle` returns the status and the JSON body of each answer.

    `writers` holds the open connections.
    """

    async def serve_connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writers.add(writer)
        with suppress(ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                line = await reader.readline()
                if not line:
                    break
                method, path, _ = line.decode().split(" ", 2)
                headers = await _read_headers(reader)
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                status, fields = await handle(Call(method, path, headers, body))
                data = json.dumps(fields).encode()
                head = (
                    f"HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n"
                )
                writer.write(head.encode() + data)
                await writer.drain()
        writers.discard(writer)
        writer.close()

    host, _, port = address.rpartition(":")
    return await asyncio.start_server(serve_connection, host, int(port))


async def request(
    method: str,
    address: str,
    path: str,
    body: Any = None,
    headers: dict[str, str] | None = None,
    wait_s: float = 1.0,
) -> Answer:
    """Send one request on a connection of its own and read the whole answer."""
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(wait_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            data = b"" if body is None else json.dumps(body).encode()
            fields = {"Host": address, "Content-Length": str(len(data)), **(headers or {})}
            if data:
                fields["Content-Type"] = "application/json"
            head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
            writer.write(f"{method} {path} HTTP/1.1\r\n{head}\r\n".encode() + data)
            await writer.drain()
            line = await reader.readline()
            if not line:
                return Answer(0, b"", "closed without an answer")
            status = int(line.split()[1])
            answer_headers = await _read_headers(reader)
            size = int(answer_headers.get("content-length", "0"))
            return Answer(status, await reader.readexactly(size))
    except TimeoutError:
        return Answer(0, b"", "no answer in time")
    except (ConnectionRefusedError, OSError) as error:
        return Answer(0, b"", f"connection broken: {type(error).__name__}")
    except asyncio.IncompleteReadError:
        return Answer(0, b"", "closed within the answer")
    finally:
        if writer is not None:
            writer.close()


async def _read_headers(reader: asyncio.StreamReader) -> dict[str, str]:
    headers = {}
    while (line := (await reader.readline()).strip()) != b"":
        name, _, value = line.decode().partition(":")
        headers[name.strip().lower()] = value.strip()
    return headers
