"""Commands that speak to an entry, against a stand-in that answers as told."""

import asyncio
import json
from contextlib import redirect_stderr, redirect_stdout
from io import StringIO
from pathlib import Path
from tempfile import TemporaryDirectory
from threading import Event, Thread
from unittest import TestCase
from uuid import UUID

from nose2.tools import params

from apricotrail.cli import main
from apricotrail.cli._submit import make_submission_id
from apricotrail.http import HttpServer, ServerLimits, json_response
from apricotrail.reports import Objectives, SloRecorder, dump_report, merge_reports

COMPLETE = {"job": "counter/1", "state": "complete", "answers": ["ok", "2"]}
JOB = {"submission": "1", "caller": "counter", "service": "quotes", "tasks": [{"body": "a"}]}


class StandInEntry:
    """An entry on its own thread that gives prepared answers and keeps the requests."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.requests = []
        self.address = ""
        self._ready = Event()
        self._thread = Thread(target=lambda: asyncio.run(self._serve()), daemon=True)

    def __enter__(self):
        self._thread.start()
        assert self._ready.wait(10)
        return self

    def __exit__(self, *error):
        self._loop.call_soon_threadsafe(self._stop.set)
        self._thread.join(10)

    async def _serve(self):
        self._loop, self._stop = asyncio.get_running_loop(), asyncio.Event()
        server = HttpServer(self._answer, ServerLimits())
        self.address = await server.listen("127.0.0.1", 0)
        self._ready.set()
        await self._stop.wait()
        await server.stop(0)

    async def _answer(self, request):
        self.requests.append(request)
        status, value = self.answers.pop(0)
        if status == 0:
            await asyncio.sleep(30)
        return json_response(status, value)


def run(*words):
    out, err = StringIO(), StringIO()
    with redirect_stdout(out), redirect_stderr(err):
        try:
            main(words)
        except SystemExit as end:
            return end.code, out.getvalue(), err.getvalue()


def refuse(kind, states=()):
    value = {"job": "counter/1", "state": "failed"}
    value["error"] = {"kind": kind, "message": "No.", "remedy": "Do."}
    value["tasks"] = [{"state": state} for state in states]
    return value


class Jobs(TestCase):
    """Submitting, showing and cancelling."""

    def setUp(self):
        folder = TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.file = self.folder / "job.json"
        self.file.write_text(json.dumps(JOB))

    def submit(self, *answers, options=()):
        with StandInEntry(*answers) as entry:
            result = run("submit", str(self.file), "--entry", entry.address, *options)
            self.requests = entry.requests
        return result

    def test_answers_of_a_complete_job_are_printed_in_order(self):
        code, output, error = self.submit((200, COMPLETE))
        self.assertEqual((code, output), (0, '"ok"\n"2"\n'))
        self.assertIn("counter/1: complete, 2 answers", error)
        self.assertEqual(json.loads(self.requests[0].body), JOB)

    def test_json_gives_the_whole_answer(self):
        code, output, _ = self.submit((200, COMPLETE), options=("--json",))
        self.assertEqual((code, json.loads(output)), (0, COMPLETE))

    def test_exit_code_of_each_failure(self):
        cases = (
            (429, refuse("overloaded"), 1),
            (502, refuse("task_failed", ["done", "failed"]), 1),
            (502, refuse("may_have_run", ["may_have_run"]), 4),
            (504, refuse("deadline", ["done", "may_have_run"]), 4),
            (503, refuse("no_quorum"), 3),
            (500, {"error": {"kind": "invented"}}, 1),
            (500, [], 1),
        )
        for status, value, expected in cases:
            code, output, error = self.submit((status, value))
            self.assertEqual((code, output), (expected, ""), value)
            self.assertIn("Remedy: ", error)

    def test_a_lost_answer_is_asked_for_again_under_the_same_id(self):
        self.file.write_text(json.dumps({**JOB, "submission": make_submission_id(5)}))
        with StandInEntry((200, COMPLETE)) as entry:
            lost = StandInProxy(entry.address)
            with lost:
                code, output, error = run("submit", str(self.file), "--entry", lost.address)
            self.assertEqual((code, output), (0, '"ok"\n"2"\n'))
            self.assertIn("Sending the same request again", error)
        self.assertEqual(lost.dropped, 1)

    def test_no_answer_in_time_is_an_unknown_outcome(self):
        code, _, error = self.submit((0, None), options=("--timeout-ms", "150"))
        self.assertEqual(code, 4)
        self.assertIn("submission: 1", error)

    def test_show_and_cancel_encode_the_ids(self):
        for words, method in ((("show",), "GET"), (("cancel",), "DELETE")):
            with StandInEntry((200, COMPLETE)) as entry:
                code, _, _ = run("job", *words, "a/b", "c d", "--entry", entry.address)
                (request,) = entry.requests
            self.assertEqual(code, 0)
            self.assertEqual((request.method, request.path), (method, "/v1/jobs/a%2Fb/c%20d"))

    def test_report_is_printed_and_written(self):
        recorder = SloRecorder("entry-1", 0, lambda service: Objectives(0.9, 1.0, 0.9))
        recorder.observe("quotes", True, 0.5, now_ms=1_000_000)
        report = merge_reports(
            [recorder.export(1_000_000)], lambda s: Objectives(0.9, 1, 0.9), (), 1_000_000
        )
        page, token = self.folder / "burn.html", self.folder / "token"
        token.write_text("secret-word\n")
        with StandInEntry((200, dump_report(report)), (401, refuse("unauthorised"))) as entry:
            words = ("report", "burn", "--entry", entry.address, "--token-file", str(token))
            code, output, _ = run(*words, "--html", str(page))
            refused, _, _ = run(*words)
            self.assertEqual(entry.requests[0].headers["authorization"], "Bearer secret-word")
        self.assertEqual((code, refused), (0, 1))
        self.assertIn("quotes", output)
        self.assertIn("<svg", page.read_text())


class StandInProxy:
    """Passes connections on to an entry, but closes the first after reading its request."""

    def __init__(self, target):
        self.target, self.address, self.dropped = target, "", 0
        self._ready = Event()
        self._thread = Thread(target=lambda: asyncio.run(self._serve()), daemon=True)

    __enter__ = StandInEntry.__enter__
    __exit__ = StandInEntry.__exit__

    async def _serve(self):
        self._loop, self._stop = asyncio.get_running_loop(), asyncio.Event()
        server = await asyncio.start_server(self._pass_on, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        self._ready.set()
        await self._stop.wait()
        server.close()

    async def _pass_on(self, reader, writer):
        data = await reader.read(65_536)
        if self.dropped == 0:
            self.dropped = 1
            writer.transport.abort()
            return
        host, _, port = self.target.rpartition(":")
        upstream, sender = await asyncio.open_connection(host, int(port))
        sender.write(data)
        writer.write(await upstream.read(65_536))
        await writer.drain()
        writer.close()
        sender.close()


@params("", "[", "[]", "{}", '{"caller": "c", "service": "s"}', '{"tasks": []}')
def test_a_file_that_is_no_job_is_refused(text):
    with TemporaryDirectory() as folder:
        path = Path(folder) / "job.json"
        path.write_text(text)
        code, _, error = run("submit", str(path), "--entry", "127.0.0.1:1")
    assert code == 1
    assert "malformed" in error and "Remedy: " in error


@params(
    (("submit", "no-such-file.json"), 1),
    (("report", "burn", "--entry", "127.0.0.1:1", "--token-file", "no-such-file"), 2),
    (("report", "burn"), 2),
)
def test_a_missing_file_or_address_is_named(words, expected):
    code, _, error = run(*words)
    assert code == expected
    assert "Remedy: " in error


@params(
    ("job", "show", "c", "1", "--entry", "127.0.0.1:1"),
    ("job", "show", "c", "1", "--entry", "no-address"),
)
def test_an_entry_that_cannot_be_reached(*words):
    import apricotrail.cli._job as job

    before, job.MARGIN_MS = job.MARGIN_MS, 100
    try:
        code, _, error = run(*words)
    finally:
        job.MARGIN_MS = before
    assert code == 3, error
    assert "Remedy: " in error


@params(
    ("submit",),
    ("submit", "a", "b"),
    ("submit", "a", "--timeout-ms", "soon"),
    ("job",),
    ("job", "show", "c"),
    ("job", "cancel"),
    ("report",),
    ("report", "burn", "surplus"),
)
def test_wrong_usage(*words):
    code, _, error = run(*words)
    assert code == 2
    assert "usage: apricotrail" in error


def test_new_submission_ids_are_uuids_of_version_7_with_the_time():
    made = UUID(make_submission_id(1_790_000_000_123))
    assert (made.version, made.variant, made.int >> 80) == (
        7,
        "specified in RFC 4122",
        1_790_000_000_123,
    )
