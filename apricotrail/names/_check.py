"""Which texts may be a name, a scheme or an id."""

import re
from collections.abc import Collection
from unicodedata import is_normalized, normalize

__all__ = [
    "ID_SCHEME",
    "MAX_NAME_CHARACTERS",
    "find_id_fault",
    "find_name_fault",
    "normalize_name",
]

ID_SCHEME = "id"
"""Scheme under which the key of a document's table is always known; no document may take it."""

MAX_NAME_CHARACTERS = 128
_ID_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9_-]{0,63}")


def normalize_name(text: str) -> str:
    """Return `text` composed (Unicode NFC), so that equal-looking names are equal.

    Examples
    --------
    >>> normalize_name("Puerto Berri\\u0301o") == "Puerto Berr\\u00edo"
    True
    """
    return text if is_normalized("NFC", text) else normalize("NFC", text)


def find_name_fault(name: str, schemes: Collection[str]) -> str | None:
    """Say why `name` cannot be a name under one of `schemes`, or return None.

    Examples
    --------
    >>> find_name_fault("", ["place"])
    'is empty'
    >>> find_name_fault("place:pipa", ["place"])
    'begins with the scheme "place:"'
    """
    if not name:
        return "is empty"
    if len(name) > MAX_NAME_CHARACTERS:
        return f"is longer than {MAX_NAME_CHARACTERS} characters"
    if name != name.strip() or not name.isprintable():
        return "holds a control character, or space at an end"
    prefix, colon, _ = name.partition(":")
    if colon and (prefix in schemes or prefix == ID_SCHEME):
        return f'begins with the scheme "{prefix}:"'
    return None


def find_id_fault(text: str) -> str | None:
    """Say why `text` cannot be an id or a scheme's name, or return None.

    Examples
    --------
    >>> find_id_fault("puerto-berrio") is None
    True
    """
    if _ID_PATTERN.fullmatch(text):
        return None
    return "is not made of 1 to 64 of the characters A-Z a-z 0-9 - _, letter or digit first"
