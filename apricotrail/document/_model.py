"""What a document says, as typed values.

Examples
--------
>>> Team("shops", 2.0, ("counter-natal",)).share
2.0
"""

from typing import NamedTuple

__all__ = [
    "DEFAULT_TEAM_ID",
    "Document",
    "Names",
    "Objectives",
    "SCHEME_COUNT",
    "Service",
    "Target",
    "Team",
    "Zone",
]

SCHEME_COUNT = 3
DEFAULT_TEAM_ID = "default"
"""Team of the callers that no team lists."""

Names = dict[str, str]
"""Names of one thing by scheme."""


class Objectives(NamedTuple):
    """Service-level objectives of a service.

    Attributes
    ----------
    latency_ms : int
        Time within which a job should be answered.
    latency_share : float
        Share of jobs that must be answered within `latency_ms`.
    success : float
        Share of jobs that must not fail.
    """

    latency_ms: int = 1_000
    latency_share: float = 0.99
    success: float = 0.999


class Service(NamedTuple):
    """A service and the limits of its jobs.

    Attributes
    ----------
    id : str
        Key of the document's table.
    names : dict
        Names by scheme.
    deadline_ms : int
        Deadline of a job that states none.
    max_tasks : int
        Most tasks in a job.
    max_body_bytes, max_answer_bytes : int
        Largest body and answer of a task.
    objectives : Objectives
        Service-level objectives.
    """

    id: str
    names: Names
    deadline_ms: int = 10_000
    max_tasks: int = 300
    max_body_bytes: int = 65_536
    max_answer_bytes: int = 1_048_576
    objectives: Objectives = Objectives()


class Zone(NamedTuple):
    """An availability zone."""

    id: str
    names: Names


class Target(NamedTuple):
    """A target; `service` and `zone` are ids."""

    id: str
    names: Names
    service: str
    zone: str


class Team(NamedTuple):
    """Callers that share a quota.

    Attributes
    ----------
    id : str
        Key of the document's table.
    share : float
        Weight against the other teams when a service is short of slots.
    callers : tuple of str
        Names of its callers.
    """

    id: str
    share: float = 1.0
    callers: tuple[str, ...] = ()


class Document(NamedTuple):
    """One environment's document, checked."""

    schemes: tuple[str, ...]
    services: dict[str, Service]
    zones: dict[str, Zone]
    targets: dict[str, Target]
    teams: dict[str, Team]
