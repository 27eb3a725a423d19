"""Parameters of one agent, the settings they come from, and its announcement."""

from collections.abc import Sequence
from typing import NamedTuple

from apricotrail.agent._records import LedgerLimits, read_ledger_limits
from apricotrail.application import STOP_MS
from apricotrail.membership import CONFIG_STALE_MS
from apricotrail.settings import Settings, declare_constraint, declare_setting
from apricotrail.wire.generated.ttypes import Announcement, ShareAnnouncements

__all__ = ["GRANT_MS", "AgentParameters", "make_announcement", "make_parameters"]

LEASE_MS = declare_setting(
    "agent.lease_ms",
    6_000,
    "Lease of an agent's announcement; the announcement is sent three times per lease.",
    unit="ms",
    minimum=500,
    maximum=120_000,
)
GRANT_MS = declare_setting(
    "agent.grant_ms", 50, "How long an agent reserves a granted slot.", unit="ms", minimum=1
)
TICK_MS = declare_setting(
    "agent.tick_ms",
    50,
    "Time between two clean-ups of grants and ledger.",
    unit="ms",
    minimum=1,
    maximum=1_000,
)
STOP_DEADLINE_MS = declare_setting(
    "agent.stop_deadline_ms",
    20_000,
    "How long a stopping agent waits for running tasks.",
    unit="ms",
    minimum=0,
)
STOP_TASK_MS = declare_setting(
    "agent.stop_task_ms",
    1_000,
    "Timeout of the request that stops a task at its target; its slot is free afterwards.",
    unit="ms",
    minimum=1,
)
declare_constraint(
    (STOP_DEADLINE_MS, STOP_MS),
    lambda stop_deadline_ms, stop_ms: stop_deadline_ms < stop_ms,
    "agent.stop_deadline_ms must be under process.stop_ms",
    "Raise process.stop_ms, or lower agent.stop_deadline_ms.",
)


class AgentParameters(NamedTuple):
    """Target, limits and periods of one agent.

    Attributes
    ----------
    target : str
        Id of its target.
    address : str
        Target's HTTP server as ``host:port``.
    slots, connections : int
        Tasks and connections that the target accepts at a time.
    entries : tuple of str
        Link addresses of the entries to dial first; members of the entry view are dialed as well.
    announces : bool
        Whether the agent announces its target to the entries.
    lease_ms : int
        Lease of the announcement in milliseconds.
    first_start_after_ms : float
        Time after the start in which no task starts, in milliseconds.
    stop_deadline_ms, stop_task_ms : float
        Longest wait for running tasks in a planned stop, and timeout of one request that stops a
        task, in milliseconds.
    grant_ms, tick_ms, stale_ms : float
        How long a granted slot is reserved, time between clean-ups, and age of the configuration
        from which no task starts, in milliseconds.
    ledger : LedgerLimits
        Bounds of the ledger.
    """

    target: str
    address: str
    slots: int
    connections: int
    entries: tuple[str, ...]
    announces: bool
    lease_ms: int
    first_start_after_ms: float
    stop_deadline_ms: float
    stop_task_ms: float
    grant_ms: float
    tick_ms: float
    stale_ms: float
    ledger: LedgerLimits


def make_parameters(
    settings: Settings,
    *,
    target: str,
    address: str,
    slots: int,
    connections: int,
    entries: Sequence[str],
    announces: bool,
    first_start_after_ms: float = 0.0,
) -> AgentParameters:
    """Return the parameters of one agent; the remaining ones come from the settings."""
    return AgentParameters(
        target=target,
        address=address,
        slots=slots,
        connections=connections,
        entries=tuple(entries),
        announces=announces,
        lease_ms=settings.get(LEASE_MS),
        first_start_after_ms=first_start_after_ms,
        stop_deadline_ms=settings.get(STOP_DEADLINE_MS),
        stop_task_ms=settings.get(STOP_TASK_MS),
        grant_ms=settings.get(GRANT_MS),
        tick_ms=settings.get(TICK_MS),
        stale_ms=settings.get(CONFIG_STALE_MS),
        ledger=read_ledger_limits(settings),
    )


def make_announcement(
    parameters: AgentParameters, slots: int, incarnation: int, leaving: bool
) -> ShareAnnouncements:
    """Return the message in which an agent announces its target."""
    announcement = Announcement(
        target=parameters.target,
        address=parameters.address,
        slots=slots,
        connections=parameters.connections,
        incarnation=incarnation,
        lease_ms=parameters.lease_ms,
        leaving=leaving,
        has_agent=True,
    )
    return ShareAnnouncements([announcement])
