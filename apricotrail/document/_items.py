"""A document as configuration items: JSON values by key."""

import json
from collections.abc import Mapping

from apricotrail.document._model import Document

__all__ = ["encode_item", "make_items"]


def encode_item(value: object) -> bytes:
    """Return `value` as compact JSON, equal bytes for equal values."""
    text = json.dumps(value, ensure_ascii=False, separators=(",", ":"), sort_keys=True)
    return text.encode()


def make_items(document: Document) -> dict[str, bytes]:
    """Return the items of a document: ``schemes``, ``service/<id>``, ``zone/<id>`` and so on.

    Examples
    --------
    >>> make_items(Document(("a", "b", "c"), {}, {}, {}, {}))
    {'schemes': b'["a","b","c"]'}
    """
    items = {"schemes": encode_item(document.schemes)}
    sections: tuple[tuple[str, Mapping], ...] = (
        ("service", document.services),
        ("zone", document.zones),
        ("target", document.targets),
        ("team", document.teams),
    )
    for kind, things in sections:
        for item_id, thing in things.items():
            items[f"{kind}/{item_id}"] = encode_item(_describe(thing))
    return items


def _describe(thing: tuple) -> dict[str, object]:
    fields = thing._asdict()  # type: ignore[attr-defined]
    del fields["id"]
    if "objectives" in fields:
        fields["objectives"] = fields["objectives"]._asdict()
    return fields
