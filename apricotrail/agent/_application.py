"""Builds agents: the agent process of one target, and agents hosted by an entry.

An entry hosts the agent of a target that has no agent process beside it.
"""

from collections.abc import Sequence
from pathlib import Path

from apricotrail.agent._parameters import make_parameters
from apricotrail.agent._target_agent import TargetAgent
from apricotrail.application import Application
from apricotrail.clocks import Clock, monotonic_ms, wall_ms
from apricotrail.errors import ApricotrailError, ErrorKind, Problem
from apricotrail.metrics import add_status_listener
from apricotrail.settings import Settings, declare_setting
from apricotrail.wire import KEY_FILE, KeyRing, LinkEndpoint
from apricotrail.wire.generated.ttypes import Announcement, Identity

__all__ = ["make_agent", "make_hosted_agent"]

TARGET = declare_setting("agent.target", "", "Id of the target in the document.")
TARGET_ADDRESS = declare_setting(
    "agent.target_address", "127.0.0.1:8090", "Address of the target's HTTP server."
)
SLOTS = declare_setting(
    "agent.slots", 8, "Tasks that the target runs at a time.", minimum=1, maximum=10_000
)
CONNECTIONS = declare_setting(
    "agent.connections",
    64,
    "Connections to the target; slots above this number stay unused.",
    minimum=1,
    maximum=10_000,
)
ZONE = declare_setting("agent.zone", "", "Availability zone of this agent.")
ENVIRONMENT = declare_setting("agent.environment", "production", "Environment of this agent.")
ENTRIES = declare_setting("agent.entries", [], "Link addresses of the entries to dial first.")

LISTEN = declare_setting(
    "agent.listen", "", "Address for /healthz, /readyz and /metrics; empty for none."
)


def make_agent(settings: Settings, clock: Clock = monotonic_ms) -> Application:
    """Return the application of the agent process beside one target.

    Parameters
    ----------
    settings : Settings
        Values of ``agent.*`` and ``link.*``.
    clock : Clock
        Monotonic time in milliseconds.

    Raises
    ------
    ApricotrailError
        If no target is named.
    """
    target = settings.get(TARGET)
    if not target:
        remedy = "Set agent.target to the target's id in the document."
        raise ApricotrailError(Problem(ErrorKind.SETTINGS, "agent.target is empty.", remedy))
    parameters = make_parameters(
        settings,
        target=target,
        address=settings.get(TARGET_ADDRESS),
        slots=settings.get(SLOTS),
        connections=settings.get(CONNECTIONS),
        entries=settings.get(ENTRIES),
        announces=True,
    )
    environment, zone = settings.get(ENVIRONMENT), settings.get(ZONE)
    endpoint = _make_endpoint(settings, target, environment, zone, wall_ms(), clock)
    target_agent = TargetAgent(parameters, endpoint)
    application = Application(f"agent:{target}")
    add_status_listener(
        application,
        settings.get(LISTEN),
        target_agent.agent.metrics,
        target_agent.is_ready,
        settings,
        clock,
    )
    application.on_start(target_agent.start)
    application.on_stop(target_agent.stop)
    return application


def make_hosted_agent(
    settings: Settings,
    target: str,
    announcement: Announcement,
    environment: str,
    zone: str,
    entries: Sequence[str],
    first_start_after_ms: float = 0.0,
    incarnation: int | None = None,
    clock: Clock = monotonic_ms,
) -> TargetAgent:
    """Return an agent that an entry hosts; it has links of its own, one of them to its host.

    Parameters
    ----------
    settings : Settings
        Values of ``agent.*`` and ``link.*`` that the other parameters don't give.
    target : str
        Id of the target.
    announcement : Announcement
        What the target announced: address, slots, connections.
    environment, zone : str
        Environment and availability zone of the host.
    entries : sequence of str
        Link addresses of entries to dial, the host's among them.
    first_start_after_ms : float
        Time after `TargetAgent.start` in which no task starts, so that an earlier host has
        certainly stopped starting tasks, in milliseconds.
    incarnation : int, optional
        Incarnation of the agent, by default the wall clock in milliseconds; must be higher than
        that of an agent on an earlier host.
    clock : Clock
        Monotonic time in milliseconds.
    """
    parameters = make_parameters(
        settings,
        target=target,
        address=announcement.address,
        slots=announcement.slots,
        connections=announcement.connections,
        entries=entries,
        announces=False,
        first_start_after_ms=first_start_after_ms,
    )
    start_ms = wall_ms() if incarnation is None else incarnation
    endpoint = _make_endpoint(settings, target, environment, zone, start_ms, clock)
    target_agent = TargetAgent(parameters, endpoint)
    target_agent.set_leaving(bool(announcement.leaving))
    return target_agent


def _make_endpoint(
    settings: Settings, target: str, environment: str, zone: str, incarnation: int, clock: Clock
) -> LinkEndpoint:
    key_file = settings.get(KEY_FILE)
    keys = KeyRing(Path(key_file) if key_file else None)
    identity = Identity(f"agent:{target}", "agent", zone, incarnation, "")
    return LinkEndpoint(identity, environment, keys, settings, clock)
