"""Dispatch and exit codes of the command line."""

from contextlib import redirect_stderr, redirect_stdout
from io import StringIO
from tempfile import NamedTemporaryFile

from nose2.tools import params

from apricotrail.cli import main
from apricotrail.cli._exit_codes import ExitCode, find_exit_code
from apricotrail.cli._main import _is_plain_role
from apricotrail.errors import ErrorKind, Problem


def run(*words):
    """Return exit code, standard output and standard error of one command."""
    out, err = StringIO(), StringIO()
    with redirect_stdout(out), redirect_stderr(err):
        try:
            main(words)
        except SystemExit as end:
            return end.code, out.getvalue(), err.getvalue()
    raise AssertionError("a command must end with an exit code")


@params(
    (),
    ("no-such-command",),
    ("settings",),
    ("settings", "check"),
    ("settings", "no-such-verb"),
    ("settings", "explain", "surplus"),
    ("events", "show", "--no-such-option"),
    ("version", "surplus"),
    ("entry",),
    ("control", "--settings"),
    ("agent", "settings.toml"),
)
def test_wrong_usage_exits_with_2_and_says_how_to_use_it(*words):
    code, _, error = run(*words)
    assert code == ExitCode.USAGE
    assert "usage: apricotrail" in error


def test_a_noun_alone_lists_its_verbs():
    code, _, error = run("settings")
    assert (code, error) == (ExitCode.USAGE, "usage: apricotrail settings {check,explain} ...\n")


@params(
    (("version",), "wire version"),
    (("settings", "explain"), "[link]"),
    (("events", "show"), "| 1003 | `link_silent` |"),
    (("metrics", "show"), "| `apricotrail_response_over_ideal` | histogram |"),
    (("--help",), "settings"),
)
def test_a_command_prints_what_was_asked_for(words, expected):
    code, output, _ = run(*words)
    assert code == ExitCode.DONE
    assert expected in output


@params(("[link]\nheartbeat_ms = 200\n", 0), ("[link]\nheartbeat = 200\n", 1))
def test_settings_check_tells_right_from_wrong(text, expected):
    with NamedTemporaryFile("w", suffix=".toml") as file:
        file.write(text)
        file.flush()
        code, _, error = run("settings", "check", file.name)
    assert code == expected
    assert ("Did you mean link.heartbeat_ms?" in error) == bool(expected)


@params(
    (ErrorKind.UNREACHABLE, 3),
    (ErrorKind.NO_QUORUM, 3),
    (ErrorKind.UNKNOWN_OUTCOME, 4),
    (ErrorKind.MAY_HAVE_RUN, 4),
    (ErrorKind.CONFLICT, 1),
)
def test_exit_code_of_each_kind_of_problem(kind, expected):
    assert find_exit_code(Problem(kind, "m", "r")) == expected


@params(
    (("control", "--settings", "control.toml"), True),
    (("control", "--settings", "--help"), False),
    (("control", "--settings"), False),
    (("control", "--help"), False),
    (("version", "--settings", "control.toml"), False),
    (("entry", "--settings", "a.toml", "b.toml"), False),
)
def test_only_a_plainly_started_role_skips_the_argument_parser(words, expected):
    assert _is_plain_role(words) == expected
