"""Entries for tests of commands: served in a thread, and one that loses its answers."""

import asyncio
from contextlib import contextmanager, redirect_stderr, redirect_stdout
from io import BytesIO, StringIO, TextIOWrapper
from threading import Thread
from typing import NamedTuple

from apricotrail.cli import main
from apricotrail.http import HttpServer

READ_BYTES = 65_536


class Finished(NamedTuple):
    """A command's exit code and output."""

    code: int
    out: str
    error: str


@contextmanager
def run_in_thread(start):
    """Run `await start()` on a loop of its own; gives its result and stops at the end."""
    loop = asyncio.new_event_loop()
    thread = Thread(target=loop.run_forever)
    thread.start()
    try:
        yield asyncio.run_coroutine_threadsafe(start(), loop).result(10)
    finally:
        loop.call_soon_threadsafe(loop.stop)
        thread.join(10)
        loop.close()


@contextmanager
def serve(handler):
    """Serve `handler` on a free port; gives its address."""
    server = HttpServer(handler)

    async def start():
        address = await server.listen("127.0.0.1", 0)
        return address if isinstance(address, str) else f"{address[0]}:{address[1]}"

    with run_in_thread(start) as address:
        yield address


@contextmanager
def serve_losing_answers(entry):
    """Forward to `entry`, but close the caller's connection instead of answering."""
    host, port = entry.split(":")

    async def forward(reader, writer):
        request = await reader.read(READ_BYTES)
        behind_reader, behind = await asyncio.open_connection(host, int(port))
        behind.write(request)
        await behind_reader.read(READ_BYTES)
        behind.close()
        writer.close()

    async def start():
        server = await asyncio.start_server(forward, "127.0.0.1", 0)
        return f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    with run_in_thread(start) as address:
        yield address


def run_command(*words):
    """Run one command; return its exit code and output."""
    out, error = TextIOWrapper(BytesIO(), "utf-8", newline=""), StringIO()
    with redirect_stdout(out), redirect_stderr(error):
        try:
            main(words)
        except SystemExit as end:
            out.flush()
            return Finished(end.code, out.buffer.getvalue().decode(), error.getvalue())
    raise AssertionError("a command must end with an exit code")
