"""Command line of the capacity measurements; see tools/measure-capacity."""

import argparse
import json
import sys
from collections.abc import Sequence
from pathlib import Path

from fit import Series, fit_line, format_series

SECTIONS = ("memory", "time", "bytes", "system", "model", "overlay")
HEADING = "| one item | measured at n | fitted | R² |\n| --- | --- | --- | --- |"


def main() -> None:
    """Measure the chosen sections and print them as Markdown."""
    parser = argparse.ArgumentParser(prog="tools/measure-capacity")
    parser.add_argument("--sections", default=",".join(SECTIONS))
    parser.add_argument(
        "--json", type=Path, help="file to keep the slopes in, or to take them from"
    )
    parser.add_argument("--probe", help=argparse.SUPPRESS)
    parser.add_argument("--size", type=int, help=argparse.SUPPRESS)
    options = parser.parse_args()
    if options.probe:
        from memory import run_probe

        print(run_probe(options.probe, options.size))
        return
    sections = options.sections.split(",")
    slopes = json.loads(options.json.read_text()) if options.json and options.json.exists() else {}
    for name in sections:
        if name not in SECTIONS:
            sys.exit(f"no section {name}; choose from {', '.join(SECTIONS)}")
    for name in ("memory", "time", "bytes", "system"):
        if name in sections:
            slopes[name] = _print_series(name, _measure(name))
    if options.json:
        options.json.write_text(json.dumps(slopes, indent=1))
    if "model" in sections:
        from model import print_model

        print_model(slopes)
    if "overlay" in sections:
        from overlay import print_comparison

        print_comparison()


def _measure(name: str) -> Sequence[Series]:
    if name == "memory":
        from memory import measure_memory

        return measure_memory()
    if name == "time":
        from timing import measure_times

        return measure_times()
    if name == "system":
        from system import measure_system

        return measure_system()
    from sizes import measure_bytes

    return measure_bytes()


def _print_series(name: str, measured: Sequence[Series]) -> dict[str, list[float]]:
    print(f"\n### {name.capitalize()}\n\n{HEADING}")
    for series in measured:
        print(format_series(series), flush=True)
    return {series.key: list(fit_line(series.sizes, series.values)[:2]) for series in measured}


if __name__ == "__main__":
    main()
