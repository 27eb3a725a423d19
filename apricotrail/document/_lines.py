"""Lines of the tables and keys of a TOML text, for messages."""

import re

__all__ = ["LineIndex", "Path"]

Path = tuple[str, ...]

_PART = r"""(?:[A-Za-z0-9_-]+|"[^"]*"|'[^']*')"""
_TABLE = re.compile(r"\[\[?(?P<path>[^\[\]]+)\]\]?\s*(?:#.*)?$")
_KEY = re.compile(rf"(?P<path>{_PART}(?:\s*\.\s*{_PART})*)\s*=")
_MULTI_LINE_QUOTES = ('"""', "'''")


class LineIndex:
    '''Line numbers by path.

    Parameters
    ----------
    text : str
        TOML text; text inside multi-line strings is skipped.

    Examples
    --------
    >>> index = LineIndex("""[zones.pipa]
    ... names = { place = "Pipa" }""")
    >>> index.find(("zones", "pipa")), index.find(("zones", "pipa", "names", "place"))
    (1, 2)
    '''

    def __init__(self, text: str) -> None:
        self._lines: dict[Path, int] = {}
        table: Path = ()
        open_quotes: str | None = None
        for number, line in enumerate(text.splitlines(), start=1):
            if open_quotes is None:
                table = self._read_line(line.strip(), number, table)
            open_quotes = _find_open_quotes(line, open_quotes)

    def find(self, path: Path) -> int:
        """Return the line of `path` or of its nearest known ancestor, 1 if there is none."""
        for length in range(len(path), 0, -1):
            line = self._lines.get(path[:length])
            if line is not None:
                return line
        return 1

    def _read_line(self, line: str, number: int, table: Path) -> Path:
        opened = _TABLE.match(line)
        if opened:
            table = _split(opened["path"])
            for length in range(1, len(table) + 1):
                self._lines.setdefault(table[:length], number)
            return table
        key = _KEY.match(line)
        if key:
            self._lines.setdefault(table + _split(key["path"]), number)
        return table


def _split(dotted: str) -> Path:
    return tuple(part.strip("\"'") for part in re.findall(_PART, dotted))


def _find_open_quotes(line: str, open_quotes: str | None) -> str | None:
    if open_quotes is not None:
        return open_quotes if line.count(open_quotes) % 2 == 0 else None
    for quotes in _MULTI_LINE_QUOTES:
        if line.count(quotes) % 2 == 1:
            return quotes
    return None
