"""Imports between subpackages go downward only, as CONTRIBUTING.md draws them."""

import ast
from pathlib import Path

from nose2.tools import params

PACKAGE = Path(__file__).parents[1]

# From the top down; a subpackage may import those of lower rows only.
LAYERS = (
    ("__main__",),
    ("cli",),
    ("measure",),
    ("entry",),
    ("agent", "control", "operators", "queues", "runners"),
    ("document", "membership", "metrics", "policy", "reports"),
    ("http", "names", "wire"),
    ("application", "logs", "resources"),
    ("events", "settings"),
    ("clocks", "errors", "pauses"),
)
SUBPACKAGES = [name for layer in LAYERS for name in layer]


def find_imports(subpackage):
    path = PACKAGE / subpackage
    files = path.rglob("*.py") if path.is_dir() else [path.with_suffix(".py")]
    found = set()
    for file in files:
        if "tests" in file.parts:
            continue
        for node in ast.walk(ast.parse(file.read_text())):
            if isinstance(node, ast.ImportFrom) and (node.module or "").startswith("apricotrail."):
                found.add(node.module.split(".")[1])
    return found - {subpackage}


@params(*SUBPACKAGES)
def test_imports_go_downward(subpackage):
    row = next(number for number, layer in enumerate(LAYERS) if subpackage in layer)
    lower = {name for layer in LAYERS[row + 1 :] for name in layer}
    assert find_imports(subpackage) <= lower, find_imports(subpackage) - lower


def test_every_subpackage_has_its_row():
    present = {path.stem for path in PACKAGE.iterdir() if path.suffix in ("", ".py")}
    assert present - {"__init__", "__pycache__", "tests"} == set(SUBPACKAGES)
