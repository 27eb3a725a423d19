"""Ids of control replicas: the name of the process and the identity of the log that it keeps."""

__all__ = ["MEMORY_LOG_PREFIX", "REPLICA_ID_SEPARATOR", "has_durable_log", "replica_name"]

REPLICA_ID_SEPARATOR = "#"
MEMORY_LOG_PREFIX = "memory-"


def replica_name(replica_id: str) -> str:
    """Return the name in a replica's id, which stays the same when its disk is lost.

    Examples
    --------
    >>> replica_name("pipa-1#c0ffee")
    'pipa-1'
    """
    return replica_id.partition(REPLICA_ID_SEPARATOR)[0]


def has_durable_log(replica_id: str) -> bool:
    """Return whether a replica's log outlives its process; only such a replica may vote.

    Examples
    --------
    >>> has_durable_log("pipa-1#c0ffee"), has_durable_log("pipa-2#memory-c0ffee")
    (True, False)
    """
    return not replica_id.partition(REPLICA_ID_SEPARATOR)[2].startswith(MEMORY_LOG_PREFIX)
