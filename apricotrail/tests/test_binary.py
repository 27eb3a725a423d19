"""The packed binary: built offline, whole, and a single process."""

import os
import subprocess
import sys
from pathlib import Path
from tempfile import TemporaryDirectory
from unittest import TestCase

ROOT = Path(__file__).parents[2]


class Binary(TestCase):
    """Builds the file once and runs it from an empty folder."""

    @classmethod
    def setUpClass(cls):
        folder = TemporaryDirectory()
        cls.addClassCleanup(folder.cleanup)
        cls.folder = Path(folder.name)
        cls.binary = cls.folder / "apricotrail"
        build = [sys.executable, str(ROOT / "tools" / "build-binary"), str(cls.binary)]
        subprocess.run(build, check=True, capture_output=True, timeout=120)

    def run_binary(self, *words):
        paths = f"{Path(sys.executable).resolve().parent}{os.pathsep}{os.environ['PATH']}"
        environment = {"PATH": paths, "SHIV_ROOT": str(self.folder / "unpacked")}
        return subprocess.run(
            [str(self.binary), *words],
            capture_output=True,
            text=True,
            env=environment,
            cwd=self.folder,
            timeout=60,
        )

    def test_commands_run_without_the_sources_and_unpack_where_told(self):
        shown = self.run_binary("version")
        self.assertEqual((shown.returncode, shown.stderr), (0, ""))
        self.assertIn("apricotrail", shown.stdout)
        unpacked = list((self.folder / "unpacked").glob("apricotrail_*/site-packages/apricotrail"))
        self.assertEqual(len(unpacked), 1)
        self.assertTrue(list(unpacked[0].glob("__pycache__/*.pyc")))
        self.assertEqual(list(unpacked[0].rglob("tests")), [])

    def test_every_module_is_inside(self):
        explained = self.run_binary("settings", "explain")
        self.assertEqual(explained.returncode, 0, explained.stderr)
        self.assertIn("[link]", explained.stdout)

    def test_exit_codes_pass_through(self):
        self.assertEqual(self.run_binary("no-such-command").returncode, 2)
        self.assertEqual(self.run_binary("settings", "check", "nowhere.toml").returncode, 1)
