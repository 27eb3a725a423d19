"""Log lines: form, limit in a storm, hidden contents, and the catalogue of events."""

import asyncio
import json
import os
import subprocess
import sys
from io import StringIO
from pathlib import Path
from unittest import IsolatedAsyncioTestCase, TestCase

import structlog
from nose2.tools import params

from apricotrail.clocks import VirtualClock
from apricotrail.events import Level, declare_event, emit
from apricotrail.logs import LogWriter, configure_logs, make_rate_limit
from apricotrail.settings import Settings

EXAMPLE = declare_event(9990, "example_happened", Level.WARNING, "Example for the tests.")
OTHER = declare_event(9991, "other_happened", Level.DEBUG, "Example for the tests.")


class Lines(TestCase):
    """What is written for an event."""

    def setUp(self):
        self.stream = StringIO()
        self.addCleanup(structlog.reset_defaults)

    def configure(self, **values):
        names = {f"log.{name}": value for name, value in values.items()}
        configure_logs(Settings(names), "entry", self.stream)

    def test_json_line_has_number_name_role_and_hides_contents(self):
        self.configure()
        emit(EXAMPLE, body="secret", token="secret", answer=b"secret", detail="x" * 900)
        line = json.loads(self.stream.getvalue())
        assert line["number"] == 9990
        assert line["event"] == "example_happened"
        assert line["role"] == "entry"
        assert line["level"] == "warning"
        assert "secret" not in self.stream.getvalue()
        assert len(line["detail"]) < 500

    def test_console_line_names_the_event(self):
        self.configure(format="console")
        emit(EXAMPLE, peer="entry-1")
        assert "example_happened" in self.stream.getvalue()

    def test_levels_below_the_setting_are_left_out(self):
        self.configure(level="warning")
        emit(OTHER)
        assert self.stream.getvalue() == ""

    def test_a_storm_of_one_event_leaves_other_events_through(self):
        self.configure(burst=3, level="debug")
        for _ in range(1_000):
            emit(EXAMPLE)
        emit(OTHER)
        assert len(self.stream.getvalue().splitlines()) == 4


class FullPipe(TestCase):
    """A reader of the log that does not read."""

    def setUp(self):
        self.reader, descriptor = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, descriptor)
        self.writer = LogWriter(descriptor, max_bytes=20_000)
        configure_logs(Settings({"log.burst": 100_000, "log.level": "debug"}), "x", self.writer)
        self.addCleanup(structlog.reset_defaults)

    def test_writing_never_blocks_and_a_warning_outlives_minor_lines(self):
        for _ in range(5_000):
            emit(OTHER, detail="x" * 100)
        emit(EXAMPLE)
        os.set_blocking(self.reader, False)
        written = b""
        for _ in range(50):
            self.writer.drain()
            try:
                written += os.read(self.reader, 1_000_000)
            except BlockingIOError:
                break
        last = json.loads(written.decode().splitlines()[-1])
        assert last["event"] == "example_happened"
        assert last["dropped"] > 4_000


class IdleWriter(IsolatedAsyncioTestCase):
    """Hundreds of idle processes on a few cores: each timer that finds nothing to do costs."""

    async def test_lines_are_written_soon_and_an_idle_writer_sleeps(self):
        reader, descriptor = os.pipe()
        self.addCleanup(os.close, reader)
        self.addCleanup(os.close, descriptor)
        writer = LogWriter(descriptor)
        drained = []
        drain = writer.drain
        writer.drain = lambda: drained.append(1) or drain()
        draining = asyncio.create_task(writer.drain_forever())
        await asyncio.sleep(0.3)
        assert not drained
        for text in ("a", "b"):
            writer.write(text)
            async with asyncio.timeout(10):
                while writer._pending:
                    await asyncio.sleep(0.01)
        assert os.read(reader, 10) == b"ab"
        assert len(drained) == 2
        draining.cancel()


def test_the_line_after_a_storm_states_how_many_were_left_out():
    clock = VirtualClock()
    limit = make_rate_limit(2, 1_000, clock)
    passed = []
    for step_ms in (0, 0, 0, 0, 999, 1, 0):
        clock.advance(step_ms)
        try:
            passed.append(limit(None, "info", {"number": 1}).get("suppressed"))
        except structlog.DropEvent:
            passed.append("dropped")
    assert passed == [None, None, "dropped", "dropped", "dropped", 3, None]


@params(("events", "EVENTS.md"), ("metrics", "metrics-reference.md"))
def test_generated_pages_match_the_code(noun, name):
    page = Path(__file__).parents[2] / "docs" / name
    command = [sys.executable, "-m", "apricotrail", noun, "show"]
    shown = subprocess.run(command, capture_output=True, text=True, check=True, timeout=60)
    assert page.read_text() == shown.stdout, "run `make catalogue`"
