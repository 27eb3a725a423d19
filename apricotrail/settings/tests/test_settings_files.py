"""Settings files: what is refused, and that everything wrong is named at once."""

from pathlib import Path
from tempfile import TemporaryDirectory
from unittest import TestCase

from nose2.tools import params
from returns.result import Failure, Success

from apricotrail.cli._modules import import_all_modules
from apricotrail.settings import (
    TABLES,
    check_values,
    declare_constraint,
    declare_setting,
    explain_settings,
    list_settings,
    load_settings,
)

COUNT = declare_setting("example.count", 3, "Example.", unit="ms", minimum=1, maximum=9)
SHARE = declare_setting("example.share", 0.5, "Example.", minimum=0.0, maximum=1.0)
NAMES = declare_setting("example.names", ["a"], "Example.")
FORM = declare_setting("example.form", "short", "Example.", choices=("long", "short"))
FLAG = declare_setting("example.flag", False, "Example.")
declare_constraint(
    (COUNT, SHARE),
    lambda count, share: count * share <= 4,
    "example.count times example.share is at most 4",
    "Lower example.count.",
)


def load_text(text):
    with TemporaryDirectory() as folder:
        path = Path(folder) / "settings.toml"
        path.write_text(text)
        return load_settings(path)


@params(
    ("example.cuont", 3, "is not a setting", "Did you mean example.count?"),
    ("exmaple.count", 3, "is not a setting", "Did you mean example.count?"),
    ("qqqq", 3, "is not a setting", "Remove it"),
    ("example.count", "3", "must be a whole number", "Write it as 3"),
    ("example.count", 3.0, "must be a whole number", "Write it as 3"),
    ("example.count", True, "must be a whole number", "Write it as 3"),
    ("example.count", 0, "is too small", "at least 1 ms"),
    ("example.count", 10, "is too large", "at most 9 ms"),
    ("example.share", "x", "must be a number", "Write it as 0.5"),
    ("example.share", 1.5, "is too large", "at most 1.0."),
    ("example.share", float("nan"), "is not finite", "finite number"),
    ("example.share", float("inf"), "is not finite", "finite number"),
    ("example.names", "a", "must be a list of strings", "['a']"),
    ("example.names", ["a", 2], "must be a list of strings", "['a']"),
    ("example.form", "medium", "is not one of the choices", "long, short"),
    ("example.form", 1, "must be a string", "'short'"),
    ("example.flag", 1, "must be true or false", "False"),
)
def test_a_wrong_value_is_refused_with_key_value_reason_and_remedy(name, value, reason, remedy):
    (problem,) = check_values({name: value})
    assert problem.message == f"{name} = {value!r}: {reason}."
    assert remedy in problem.remedy


@params(
    ("example.count", 1),
    ("example.share", 1),
    ("example.names", []),
    ("example.form", "long"),
    ("example.flag", True),
)
def test_a_right_value_is_accepted(name, value):
    assert check_values({name: value}) == ()


def test_pairs_are_checked_unless_one_of_them_is_wrong_already():
    (problem,) = check_values({"example.count": 9})
    assert problem.message.startswith("example.count = 9, example.share = 0.5: ")
    assert problem.remedy == "Lower example.count."
    assert len(check_values({"example.count": 90})) == 1


def test_everything_wrong_is_named_at_once():
    problems = load_text('[example]\ncount = 0\nshare = "x"\nfrom = 1').failure()
    assert len(problems) == 3


@params("[example", "a = 1\na = 2", "\x00")
def test_a_file_that_is_no_toml_is_one_problem(text):
    (problem,) = load_text(text).failure()
    assert "TOML" in problem.remedy


def test_a_missing_file_is_a_problem():
    assert isinstance(load_settings(Path("/nowhere/settings.toml")), Failure)


def test_values_of_a_file_replace_defaults():
    loaded = load_text("[example]\ncount = 4")
    assert isinstance(loaded, Success)
    assert loaded.unwrap().get(COUNT) == 4
    assert loaded.unwrap().get(SHARE) == 0.5


def test_tables_are_those_of_the_declared_settings():
    import_all_modules()
    declared = {setting.name.partition(".")[0] for setting in list_settings()}
    assert declared - {"example"} == set(TABLES), "mend TABLES in settings/_files.py"


class Explanation(TestCase):
    """The explanation is itself a settings file."""

    def test_explanation_is_a_valid_file_with_every_setting(self):
        import_all_modules()
        text = explain_settings()
        assert isinstance(load_text(text), Success)
        for setting in list_settings():
            self.assertIn(setting.meaning, text)

    def test_defaults_that_break_a_constraint_are_refused(self):
        with self.assertRaises(ValueError):
            declare_constraint((COUNT,), lambda count: count > 5, "more than 5", "Raise it.")
