"""Admits or refuses a new submission before anything is claimed or started."""

from collections.abc import Callable
from typing import NamedTuple

from returns.result import Failure, Result

from apricotrail.clocks import Clock
from apricotrail.document import EffectiveConfiguration, Team
from apricotrail.entry._agents import AgentState, AgentTable
from apricotrail.entry._dispatch import JobDispatcher
from apricotrail.entry._submission import Submission
from apricotrail.errors import ErrorKind, Problem
from apricotrail.policy import Admission, AdmissionRequest, ServiceState
from apricotrail.settings import declare_setting

__all__ = [
    "MAX_JOBS_OF_CALLER",
    "AdmissionParts",
    "AdmitSubmission",
    "Admitted",
    "make_admit",
    "make_retry_after",
]

MAX_JOBS_OF_CALLER = declare_setting(
    "entry.max_jobs_of_caller", 1_000, "Most unfinished jobs of one caller at one entry.", minimum=1
)


DEFAULT_DEADLINE_MS = 10_000
RETURNING_SLOTS_FACTOR = 2


class Admitted(NamedTuple):
    """Service, team and deadline that an admitted submission gets from the configuration.

    Attributes
    ----------
    service : str
        Service id.
    team : str
        Team id of the caller.
    share : float
        Weight of the team.
    deadline_ms : float
        Time to answer the job, in milliseconds.
    """

    service: str
    team: str
    share: float
    deadline_ms: float


AdmitSubmission = Callable[[Submission], Result[Admitted, Problem]]


class AdmissionParts(NamedTuple):
    """Dependencies of admission.

    Attributes
    ----------
    configuration : callable
        Returns the configuration in force.
    is_fresh : callable
        Whether that configuration was confirmed recently enough to start tasks.
    is_stopping : callable
        Whether this entry has stopped admitting jobs.
    dispatcher : JobDispatcher
        Queues and run times.
    agents : AgentTable
        Agents and their slots.
    admission : Admission
        Policy that refuses jobs beyond the queue's bound, a team's quota or their deadline.
    max_jobs_of_caller : int
        Most unfinished jobs of one caller at this entry.
    clock : callable
        Monotonic time in milliseconds.
    count_entries : callable
        Returns the number of entries in the view, which share the slots.
    """

    configuration: Callable[[], EffectiveConfiguration]
    is_fresh: Callable[[], bool]
    is_stopping: Callable[[], bool]
    dispatcher: JobDispatcher
    agents: AgentTable
    admission: Admission
    max_jobs_of_caller: int
    clock: Clock
    count_entries: Callable[[], int]


def make_admit(parts: AdmissionParts) -> AdmitSubmission:
    """Return the function that admits or refuses a submission."""

    def admit(submission: Submission) -> Result[Admitted, Problem]:
        if parts.is_stopping():
            message = "This entry is stopping; nothing was started."
            return Failure(
                Problem(ErrorKind.STOPPING, message, "Retry the same id at another entry.")
            )
        if not parts.is_fresh():
            message = "This entry's configuration is not confirmed; nothing was started."
            return Failure(
                Problem(ErrorKind.STALE_CONFIGURATION, message, "Retry the same id in a second.")
            )
        if parts.dispatcher.count_unfinished(submission.caller) >= parts.max_jobs_of_caller:
            message = f"Caller {submission.caller} has too many unfinished jobs at this entry."
            return Failure(
                Problem(ErrorKind.QUOTA_EXCEEDED, message, "Wait for answers, then retry.")
            )
        resolved = parts.configuration().resolve("service", submission.service)
        return resolved.bind(lambda service: _admit_to(parts, submission, service))

    return admit


def make_retry_after(parts: AdmissionParts) -> Callable[[Submission], float]:
    """Return the function that computes after how many ms a refused submission may be resent."""

    def retry_after_ms(submission: Submission) -> float:
        service_id = parts.configuration().resolve("service", submission.service).value_or("")
        known = parts.configuration().services.get(service_id)
        default_ms = known.deadline_ms if known is not None else DEFAULT_DEADLINE_MS
        request = AdmissionRequest(
            service_id,
            "",
            len(submission.bodies),
            float(submission.deadline_ms or default_ms),
            parts.clock(),
        )
        team = parts.configuration().team_of(submission.caller)
        state = _describe_service(parts, service_id, submission, team)
        return parts.admission.retry_after_ms(request, state)

    return retry_after_ms


def _admit_to(
    parts: AdmissionParts, submission: Submission, service_id: str
) -> Result[Admitted, Problem]:
    configuration = parts.configuration()
    service = configuration.services[service_id]
    if len(submission.bodies) > service.max_tasks:
        message = f"{len(submission.bodies)} tasks exceed the service's {service.max_tasks}."
        return Failure(Problem(ErrorKind.TOO_LARGE, message, "Split the job."))
    if max(map(len, submission.bodies)) > service.max_body_bytes:
        message = f"A task's body exceeds the service's {service.max_body_bytes} bytes."
        return Failure(Problem(ErrorKind.TOO_LARGE, message, "Send smaller bodies."))
    impossible = _find_impossible(parts, submission, service_id)
    if impossible is not None:
        return Failure(impossible)
    team = configuration.team_of(submission.caller)
    deadline_ms = float(submission.deadline_ms or service.deadline_ms)
    request = AdmissionRequest(
        service_id, team.id, len(submission.bodies), deadline_ms, parts.clock()
    )
    state = _describe_service(parts, service_id, submission, team)
    admitted = Admitted(service_id, team.id, team.share, deadline_ms)
    return parts.admission.decide(request, state).map(lambda _: admitted)


def _find_impossible(
    parts: AdmissionParts, submission: Submission, service_id: str
) -> Problem | None:
    """Return why no target could ever run the job, None if one might.

    A target whose agent has not reported its slots, such as one without a link, might have enough.
    """
    targets = parts.configuration().targets_of(service_id)
    if not targets:
        message = f"Service {service_id} has no target; nothing was started."
        return Problem(ErrorKind.IMPOSSIBLE, message, "Add a target to the document.")
    slots = [agent.slots for agent in _list_agents(parts, service_id) if agent.slots]
    if len(slots) < len(targets) or submission.slots_needed <= max(slots):
        return None
    message = f"No target of {service_id} has {submission.slots_needed} slots; nothing was started."
    remedy = f"Ask for at most {max(slots)} slots a task."
    return Problem(ErrorKind.IMPOSSIBLE, message, remedy)


def _list_agents(parts: AdmissionParts, service_id: str) -> list[AgentState]:
    targets = parts.configuration().targets_of(service_id)
    agents = (parts.agents.find_by_target(target.id) for target in targets)
    return [agent for agent in agents if agent is not None]


def _count_slots(parts: AdmissionParts, agents: list[AgentState]) -> int:
    """Return the slots to plan with: those in service, and as many that are expected back.

    A zone that operators took out returns; refusing the jobs that it would have run loses work.
    ``policy.deadline_share`` leaves room for `RETURNING_SLOTS_FACTOR` times the slots in service.
    """
    configuration, now_ms = parts.configuration(), parts.clock()
    in_service = 0
    for agent in agents:
        known = configuration.targets.get(agent.target)
        if known is not None and configuration.is_zone_in_service(known.zone):
            in_service += agent.slots if agent.is_usable(now_ms) else 0
    return min(sum(agent.slots for agent in agents), RETURNING_SLOTS_FACTOR * in_service)


def _describe_service(
    parts: AdmissionParts,
    service_id: str,
    submission: Submission,
    team: Team,
) -> ServiceState:
    configuration, dispatcher = parts.configuration(), parts.dispatcher
    agents = _list_agents(parts, service_id)
    queue = dispatcher.dispatch_state.queues[service_id]
    tasks = len(submission.bodies)
    total_share = sum(known.share for known in configuration.teams.values()) or team.share
    return ServiceState(
        queued_tasks=len(queue),
        slots=_count_slots(parts, agents),
        running=sum(agent.open_count for agent in agents),
        mean_task_ms=dispatcher.dispatch_state.run_times.mean_ms(service_id),
        team_queued=queue.count_queued_tasks_of_team(team.id),
        team_share=min(1.0, team.share / total_share),
        tasks_ahead=queue.tasks_ahead(submission.caller, team.id, team.share, tasks),
        tail_ms=dispatcher.dispatch_state.run_times.longest_ms(service_id, tasks),
        busy=sum(agent.slots - agent.count_free() for agent in agents),
        entries=parts.count_entries(),
    )
