"""Every command has help, and the pages name only commands that exist."""

import re
from importlib import import_module
from pathlib import Path

from nose2.tools import params

from apricotrail.cli._main import COMMANDS
from apricotrail.cli.tests.test_dispatch import run

ROOT = Path(__file__).parents[3]
PAGES = [*ROOT.glob("*.md"), *ROOT.glob("docs/*.md"), *ROOT.glob("examples/**/*.md")]
COMMAND = re.compile(r"(?:^\s*\$ |`|\./|dist/)apricotrail ([a-z]+)(?: ([a-z]+))?", re.MULTILINE)


def list_commands():
    """Return the words of every command."""
    found = []
    for noun, (module, attribute) in sorted(COMMANDS.items()):
        value = getattr(import_module(module), attribute)
        verbs = value[noun] if attribute == "OPERATOR_COMMANDS" else value
        found += [(noun, verb) for verb in verbs] if isinstance(verbs, dict) else [(noun,)]
    return found


@params(*list_commands())
def test_every_command_has_help(*words):
    code, output, _ = run(*words, "--help")
    assert code == 0
    assert output.startswith(f"usage: apricotrail {' '.join(words)} ")


@params(*list_commands())
def test_every_command_refuses_an_unknown_option(*words):
    code, _, error = run(*words, "--no-such-option")
    assert code == 2
    assert "usage: apricotrail" in error


def test_pages_name_only_commands_that_exist():
    known = list_commands()
    nouns = {words[0] for words in known}
    for page in PAGES:
        for noun, verb in COMMAND.findall(page.read_text()):
            assert noun in nouns, f"{page.name}: {noun}"
            verbs = {words[1] for words in known if words[0] == noun and len(words) == 2}
            assert not verbs or not verb or verb in verbs, f"{page.name}: {noun} {verb}"
