"""The names of all things of one kind, and the resolution of references to them."""

from bisect import bisect_left
from collections.abc import Mapping, Sequence
from functools import cached_property

from returns.result import Failure, Result, Success

from apricotrail.errors import ErrorKind, Problem
from apricotrail.names._check import ID_SCHEME, MAX_NAME_CHARACTERS, normalize_name
from apricotrail.names._nearest import suggest

__all__ = ["NameTable"]

MAX_REFERENCE_CHARACTERS = 2 * MAX_NAME_CHARACTERS
MAX_KEPT_REFUSALS = 256
_NEIGHBOURS = 32


class NameTable:
    """Names of the things of one kind under every scheme.

    A reference is ``scheme:name``, ``id:key``, or a bare name or key that means one thing.

    Parameters
    ----------
    kind : str
        Kind of the things, for messages: "service", "zone" or "target".
    schemes : sequence of str
        Names of the schemes.
    names : mapping
        Names by scheme, by id.

    Examples
    --------
    >>> table = NameTable("zone", ["place", "code"], {"z1": {"place": "Natal", "code": "N"}})
    >>> table.resolve("code:N").unwrap(), table.resolve("Natal").unwrap()
    ('z1', 'z1')
    >>> table.resolve("Nata").failure().remedy
    'Did you mean "Natal"?'
    """

    def __init__(
        self, kind: str, schemes: Sequence[str], names: Mapping[str, Mapping[str, str]]
    ) -> None:
        self._kind = kind
        self._names = names
        self._refusals: dict[str, Problem] = {}
        self._ids: dict[str, dict[str, str]] = {scheme: {} for scheme in schemes}
        for item_id, item_names in names.items():
            for scheme, name in item_names.items():
                self._ids.setdefault(scheme, {})[normalize_name(name)] = item_id

    def resolve(self, reference: str) -> Result[str, Problem]:
        """Return the id of the thing that `reference` means.

        Returns
        -------
        Result
            The id, or a problem of kind ``unknown_name`` (with the nearest known names) or
            ``ambiguous_name`` (with the candidates).
        """
        if len(reference) > MAX_REFERENCE_CHARACTERS:
            return Failure(self._describe_long(reference))
        item_id = self._find_one(normalize_name(reference))
        if item_id is not None:
            return Success(item_id)
        refusal = self._refusals.get(reference)
        if refusal is None:
            refusal = self._describe_refusal(normalize_name(reference))
            if len(self._refusals) >= MAX_KEPT_REFUSALS:
                self._refusals.clear()
            self._refusals[reference] = refusal
        return Failure(refusal)

    def find(self, name: str) -> dict[str, str]:
        """Return the ids that the bare `name` could mean, each with one reference to it."""
        found = {name: f"{ID_SCHEME}:{name}"} if name in self._names else {}
        for scheme, ids in self._ids.items():
            if name in ids:
                found[ids[name]] = f"{scheme}:{name}"
        return found

    def _find_one(self, reference: str) -> str | None:
        scheme, name = self._split(reference)
        if scheme == ID_SCHEME:
            return name if name in self._names else None
        if scheme is not None:
            return self._ids[scheme].get(name)
        found = self.find(reference)
        return next(iter(found)) if len(found) == 1 else None

    def _split(self, reference: str) -> tuple[str | None, str]:
        scheme, colon, name = reference.partition(":")
        if colon and (scheme in self._ids or scheme == ID_SCHEME):
            return scheme, name
        return None, reference

    def _describe_refusal(self, reference: str) -> Problem:
        scheme, name = self._split(reference)
        if scheme is not None:
            return self._describe_unknown_in(scheme, name)
        found = self.find(reference)
        if found:
            return self._describe_ambiguity(reference, found)
        return self._describe_unknown(reference)

    def _describe_long(self, reference: str) -> Problem:
        message = f"a {self._kind}'s reference has {len(reference)} characters."
        remedy = f"Use a name of at most {MAX_NAME_CHARACTERS} characters."
        return Problem(ErrorKind.UNKNOWN_NAME, message, remedy)

    def _describe_unknown_in(self, scheme: str, name: str) -> Problem:
        known = self._names if scheme == ID_SCHEME else self._ids[scheme]
        message = f'no {self._kind} is called "{name}" under the scheme "{scheme}".'
        return Problem(ErrorKind.UNKNOWN_NAME, message, suggest(name, self._near(name, known)))

    def _describe_ambiguity(self, name: str, found: Mapping[str, str]) -> Problem:
        candidates = ", ".join(sorted(found.values()))
        message = f'"{name}" means {len(found)} {self._kind}s.'
        return Problem(ErrorKind.AMBIGUOUS_NAME, message, f"Use one of: {candidates}.")

    def _describe_unknown(self, name: str) -> Problem:
        message = f'no {self._kind} is called "{name}" under any scheme.'
        remedy = suggest(name, self._near(name, self._all_names))
        return Problem(ErrorKind.UNKNOWN_NAME, message, remedy)

    @cached_property
    def _all_names(self) -> dict[str, None]:
        names = dict.fromkeys(name for ids in self._ids.values() for name in ids)
        return names | dict.fromkeys(self._names)

    @cached_property
    def _sorted(self) -> tuple[list[str], list[str]]:
        names = list(self._all_names)
        return sorted(names), sorted(name[::-1] for name in names)

    def _near(self, name: str, known: Mapping[str, object]) -> list[str]:
        """Return a bounded choice of `known` that shares a beginning or an end with `name`."""
        if len(known) <= 4 * _NEIGHBOURS:
            return list(known)
        forward, backward = self._sorted
        chosen = _neighbours(forward, name)
        chosen += [text[::-1] for text in _neighbours(backward, name[::-1])]
        return [text for text in dict.fromkeys(chosen) if text in known]


def _neighbours(ordered: list[str], text: str) -> list[str]:
    place = bisect_left(ordered, text)
    return ordered[max(0, place - _NEIGHBOURS) : place + _NEIGHBOURS]
