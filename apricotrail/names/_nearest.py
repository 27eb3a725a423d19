"""Known words that resemble a misspelt one."""

from collections.abc import Iterable
from difflib import get_close_matches

__all__ = ["list_nearest", "suggest"]

_MAX_SUGGESTIONS = 3
_MAX_KNOWN_SHOWN = 8


def list_nearest(word: str, known: Iterable[str]) -> list[str]:
    """Return the known words nearest to `word`, at most three, best first.

    Examples
    --------
    >>> list_nearest("natl", ["natal", "pipa"])
    ['natal']
    """
    by_folded = {text.casefold(): text for text in known}
    nearest = get_close_matches(word.casefold(), by_folded, n=_MAX_SUGGESTIONS)
    return [by_folded[folded] for folded in nearest]


def suggest(word: str, known: Iterable[str]) -> str:
    """Return a remedy that names the known words nearest to `word`.

    Examples
    --------
    >>> suggest("pippa", ["natal", "pipa"])
    'Did you mean "pipa"?'
    >>> suggest("x", ["natal", "pipa"])
    'Use one of "natal", "pipa".'
    """
    words = list(known)
    nearest = list_nearest(word, words)
    if nearest:
        return f"Did you mean {_quote(nearest, ' or ')}?"
    if not words:
        return "None is known yet: add it to the document."
    more = "" if len(words) <= _MAX_KNOWN_SHOWN else f" or {len(words) - _MAX_KNOWN_SHOWN} more"
    return f"Use one of {_quote(words[:_MAX_KNOWN_SHOWN], ', ')}{more}."


def _quote(words: list[str], separator: str) -> str:
    return separator.join(f'"{word}"' for word in words)
