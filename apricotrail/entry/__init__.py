"""The entry role: the front instances that own callers' jobs.

An entry admits jobs over HTTP, claims each at a majority of the entry view, places its tasks on
targets through their agents, and returns the collected answers.
"""

from apricotrail.entry._application import Entry, make_entry

__all__ = ["Entry", "make_entry"]
