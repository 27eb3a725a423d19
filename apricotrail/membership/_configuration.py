"""The configuration items that one node holds, and the changes since an earlier version.

Items are JSON values by key. One version number covers the whole configuration and only grows.
Every node stores the items that it was sent and relays to its peers those that they lack.
"""

from collections import OrderedDict
from typing import NamedTuple

from apricotrail.wire.generated.ttypes import ConfigurationChange, ConfigurationItem

__all__ = ["Configuration", "MAX_REMOVED_ITEMS"]

MAX_REMOVED_ITEMS = 4_096  # older removals are forgotten; a node that lacks one is sent all items


class _Versioned(NamedTuple):
    """Value of an item, None if it was removed, and the version of the change that set it."""

    value: bytes | None
    version: int


class Configuration:
    """Versioned configuration items of one node.

    Removed items are kept without a value, at most `MAX_REMOVED_ITEMS` of them, so that their
    removal can be relayed.

    Attributes
    ----------
    version : int
        Highest version applied, 0 for none.

    Examples
    --------
    >>> configuration = Configuration()
    >>> change = ConfigurationChange(0, 3, [ConfigurationItem("zone/pipa", b"{}")])
    >>> configuration.apply(change)
    True
    >>> configuration.items()
    {'zone/pipa': b'{}'}
    """

    def __init__(self) -> None:
        self.version = 0
        # In ascending order of versions: `_put` moves an item to the end.
        self._items: OrderedDict[str, _Versioned] = OrderedDict()
        self._removed_count = 0
        # Lowest version since which all changes are known; removals before it may be unknown.
        self._oldest_base_version = 0

    def items(self) -> dict[str, bytes]:
        """Return the values of the present items by key."""
        return {key: item.value for key, item in self._items.items() if item.value is not None}

    def find(self, key: str) -> bytes | None:
        """Return the value of one item, or None if it is not present."""
        item = self._items.get(key)
        return item.value if item is not None else None

    def apply(self, change: ConfigurationChange) -> bool:
        """Apply a change that is newer than the present version.

        A change based on version 0 holds all items: those that it lacks are removed.

        Returns
        -------
        bool
            False if the change is based on a version that this node has not reached: the caller
            must request all changes since `version`. An old change is ignored and gives True.
        """
        if change.version <= self.version:
            return True
        if change.base_version > self.version:
            return False
        if change.base_version == 0:
            self._replace_all(change)
        for item in change.items:
            self._put(item.key, item.value, change.version)
        self.version = change.version
        return True

    def changes_since(self, version: int) -> ConfigurationChange:
        """Return the changes that a node at `version` lacks, based on that version.

        A node without any version, or so far behind that removals which it lacks may be unknown
        here, gets all items instead, as a change based on version 0.
        """
        if version < self._oldest_base_version or version <= 0:
            items = [ConfigurationItem(key, value) for key, value in self.items().items()]
            return ConfigurationChange(0, self.version, items)
        newer = []
        for key in reversed(self._items):
            item = self._items[key]
            if item.version <= version:
                break
            newer.append(ConfigurationItem(key, item.value))
        return ConfigurationChange(version, self.version, newer)

    def _replace_all(self, change: ConfigurationChange) -> None:
        keys = {item.key for item in change.items}
        for key in [key for key in self._items if key not in keys]:
            self._put(key, None, change.version)
        # The change doesn't say which items were removed between earlier versions.
        self._oldest_base_version = change.version

    def _put(self, key: str, value: bytes | None, version: int) -> None:
        present = self._items.pop(key, None)
        if present is not None and present.value is None:
            self._removed_count -= 1
        self._items[key] = _Versioned(value, version)
        if value is None:
            self._removed_count += 1
            self._drop_oldest_removed()

    def _drop_oldest_removed(self) -> None:
        if self._removed_count <= MAX_REMOVED_ITEMS:
            return
        key = next(key for key, item in self._items.items() if item.value is None)
        self._oldest_base_version = max(self._oldest_base_version, self._items.pop(key).version)
        self._removed_count -= 1
