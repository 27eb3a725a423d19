"""What a process knows of the system: other processes, configuration and its age, entry views."""

from apricotrail.membership._configuration import Configuration
from apricotrail.membership._freshness import (
    CONFIG_STALE_MS,
    NEVER_CONFIRMED_AGE_MS,
    Freshness,
)
from apricotrail.membership._replicas import (
    MEMORY_LOG_PREFIX,
    REPLICA_ID_SEPARATOR,
    has_durable_log,
    replica_name,
)
from apricotrail.membership._roster import Roster, RosterParts
from apricotrail.membership._run_limits import (
    AGENT_LOST_AFTER_MS,
    CALLER_RETRY_MS,
    IN_DOUBT_AFTER_MS,
    LEASE_MS,
    LISTS_COMPLETE_MS,
    MAX_NOTICE_MS,
    OWNER_GRACE_MS,
    OWNER_SILENT_MS,
    START_VALID_MS,
    TICK_MS,
    WRITE_OFF_CONTACT_MS,
    compute_owner_grace_ms,
)
from apricotrail.membership._view import NO_VIEW, View, ViewMember, read_view

__all__ = [
    "AGENT_LOST_AFTER_MS",
    "CALLER_RETRY_MS",
    "CONFIG_STALE_MS",
    "IN_DOUBT_AFTER_MS",
    "LEASE_MS",
    "LISTS_COMPLETE_MS",
    "MAX_NOTICE_MS",
    "MEMORY_LOG_PREFIX",
    "NEVER_CONFIRMED_AGE_MS",
    "NO_VIEW",
    "OWNER_GRACE_MS",
    "OWNER_SILENT_MS",
    "REPLICA_ID_SEPARATOR",
    "START_VALID_MS",
    "TICK_MS",
    "WRITE_OFF_CONTACT_MS",
    "Configuration",
    "Freshness",
    "Roster",
    "RosterParts",
    "View",
    "ViewMember",
    "compute_owner_grace_ms",
    "has_durable_log",
    "read_view",
    "replica_name",
]
