"""Queues and pools as operators define them, read from configuration items.

A queue is reached under a host and a path prefix and sends its tasks to the runners of one pool.
Items: ``queue/NAME`` and ``pool/NAME``, JSON values; ``queues`` holds the document's version.
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
    """One queue.

    Attributes
    ----------
    name : str
        Name in the document.
    host, prefix : str
        Where callers reach it: ``Host`` header and beginning of the path.
    pool : str
        Runners that run its tasks.
    attempts : int
        Failed runs of one task after which its job has failed.
    priority : int
        0 goes first.
    objective_ms : float
        Latency allowed on top of `slack` times the job's longest chain of tasks.
    slack : float
        Factor on the job's longest chain of tasks.
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
        Version of the operators' document, 0 for none.
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
        self._by_place = {(queue.host, queue.prefix): queue for queue in self.queues.values()}
        lengths = {len(queue.prefix) for queue in self.queues.values()}
        self._lengths = sorted(lengths, reverse=True)

    def find(self, host: str, path: str) -> Queue | None:
        """Return the queue with the longest prefix of `path` at `host`, or None."""
        for length in self._lengths:
            queue = self._by_place.get((host, path[:length]))
            if queue is not None:
                return queue
        return None


def make_queue_items(queues: list[Queue], pools: Mapping[str, Any]) -> dict[str, Any]:
    """Return the configuration items of a document as JSON values by key."""
    items: dict[str, Any] = {QUEUE_PREFIX + queue.name: queue._asdict() for queue in queues}
    items.update({POOL_PREFIX + name: value for name, value in pools.items()})
    return items


def read_queue_table(items: Mapping[str, bytes], former: QueueTable) -> QueueTable:
    """Return the table in `items`; `former` is returned if there is no document."""
    head = items.get(VERSION_KEY)
    if head is None:
        return former
    queues = {}
    for key, value in items.items():
        if key.startswith(QUEUE_PREFIX):
            queue = Queue(**json.loads(value))
            queues[queue.name] = queue
    return QueueTable(json.loads(head)["version"], queues)
