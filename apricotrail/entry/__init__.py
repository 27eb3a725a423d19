"""The entry role: takes jobs from callers, places their tasks, gathers their answers."""

from apricotrail.entry._application import Entry, make_entry

__all__ = ["Entry", "make_entry"]
