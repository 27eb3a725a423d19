"""Queues and pools of the operators' document, as configuration items.

A queue is reached under a host and a path prefix and sends its tasks to the runners of one pool.
The items ``queue/NAME`` and ``pool/NAME`` hold JSON values; the item ``queues`` holds the version
of the document.
"""

import json
from collections.abc import Mapping
from typing import Any, NamedTuple

__all__ = [
    "POOL_PREFIX",
    "QUEUE_PREFIX",
    "Queue",
    "QueueTable",
    "make_queue_items",
    "read_queue_table",
]

QUEUE_PREFIX = "queue/"
POOL_PREFIX = "pool/"
VERSION_KEY = "queues"


class Queue(NamedTuple):
    """One queue: where callers reach it, which pool runs its tasks, and its latency objective.

    Attributes
    ----------
    name : str
        Name in the document.
    host, prefix : str
        Where callers reach it: ``Host`` header and beginning of the path.
    pool : str
        Name of the pool whose runners run its tasks.
    attempts : int
        Failed runs of one task after which its job has failed.
    priority : int
        0 is the highest; each larger number lets queued runs wait longer.
    objective_ms : float
        Latency allowed on top of `slack` times the run time of the job's critical path, the longest
        chain of dependent tasks.
    slack : float
        Factor on the run time of the critical path.
    timeout_ms : float
        Route timeout set by the operators.
    """

    name: str
    host: str
    prefix: str
    pool: str
    attempts: int
    priority: int
    objective_ms: float
    slack: float
    timeout_ms: float


class QueueTable:
    """Look-up of queues by host and path.

    Parameters
    ----------
    version : int
        Version of the operators' document, 0 while none is known.
    queues : dict of str to Queue
        Queues by name.

    Examples
    --------
    >>> queue = Queue("quotes", "a.example", "/q/", "repairs", 3, 0, 60.0, 1.6, 1500.0)
    >>> table = QueueTable(1, {"quotes": queue})
    >>> table.find("a.example", "/q/17").name
    'quotes'
    """

    def __init__(self, version: int = 0, queues: Mapping[str, Queue] | None = None) -> None:
        self.version = version
        self.queues = dict(queues or {})
        self._by_host_and_prefix = {
            (queue.host, queue.prefix): queue for queue in self.queues.values()
        }
        lengths = {len(queue.prefix) for queue in self.queues.values()}
        self._prefix_lengths = sorted(lengths, reverse=True)

    def find(self, host: str, path: str) -> Queue | None:
        """Return the queue at `host` with the longest prefix that `path` starts with, or None."""
        for length in self._prefix_lengths:
            queue = self._by_host_and_prefix.get((host, path[:length]))
            if queue is not None:
                return queue
        return None


def make_queue_items(queues: list[Queue], pools: Mapping[str, Any]) -> dict[str, Any]:
    """Return the configuration items for queues and pools, as values for JSON by key.

    The item ``queues`` with the version is not among them.
    """
    items: dict[str, Any] = {QUEUE_PREFIX + queue.name: queue._asdict() for queue in queues}
    items.update({POOL_PREFIX + name: value for name, value in pools.items()})
    return items


def read_queue_table(items: Mapping[str, bytes], current: QueueTable) -> QueueTable:
    """Return the table in `items`, or `current` if they hold no document."""
    version_item = items.get(VERSION_KEY)
    if version_item is None:
        return current
    queues = {}
    for key, value in items.items():
        if key.startswith(QUEUE_PREFIX):
            queue = Queue(**json.loads(value))
            queues[queue.name] = queue
    return QueueTable(json.loads(version_item)["version"], queues)
