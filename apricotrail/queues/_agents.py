"""Links to agents: claims of the runs there, links to be closed, runs at agents without a link."""

from apricotrail.events import Level, declare_event, emit
from apricotrail.membership import AGENT_LOST_AFTER_MS, WRITE_OFF_CONTACT_MS
from apricotrail.queues._job_ends import give_up
from apricotrail.queues._jobs import Job
from apricotrail.queues._lost_agents import LostAgent
from apricotrail.queues._outcomes import end_run
from apricotrail.queues._starts import make_start
from apricotrail.queues._state import DispatchState
from apricotrail.wire.generated.ttypes import (
    ClaimRuns,
    RunKey,
    RunOutcome,
    RunReason,
    RunState,
    StopRuns,
)

__all__ = [
    "RETIRED_IDLE_MS",
    "check_for_final",
    "declare_runs_lost",
    "link_agent",
    "list_busy_agents",
    "retire_agents",
    "unlink_agent",
]

RETIRED_IDLE_MS = 1_000.0  # time without a start or an outcome before a link is closed

AGENT_LOST = declare_event(
    10006,
    "runner_agent_lost",
    Level.WARNING,
    "The link to a runner's agent was lost; its runs stay open until it returns or leases lapse.",
)
AGENT_UP = declare_event(
    10007,
    "runner_agent_up",
    Level.INFO,
    "A runner's agent is linked; this dispatcher claimed the runs that it believes to be there.",
)
RUNS_WRITTEN_OFF = declare_event(
    10009,
    "runs_written_off",
    Level.WARNING,
    "The runner leases of a silent agent have lapsed; its runs count as lost and may be retried.",
)


def link_agent(state: DispatchState, agent: str) -> None:
    """Add the runner of a linked agent, and claim the runs believed to be there.

    Runs of jobs that are answered are stopped: the stop may have been lost with the last link.
    """
    runner = state.registry.add(agent)
    lost = state.lost_agents.get(agent)
    starts, stops = [], []
    for (name, run), (job, task) in state.runs.items():
        if task.agent != agent:
            continue
        runner.note_sent(job.request.steps[task.step], task.is_isolated)
        if job.stopping:
            stops.append(RunKey(name, run))
        else:
            starts.append(make_start(state, job, task, name, run, 0))
            if lost is not None and lost.may_have_finalised:
                state.maybe_final.add((name, run))
    state.send(agent, ClaimRuns(starts, *state.write_offs.list_for_claim(agent)))
    if stops:
        state.send(agent, StopRuns(stops))
    emit(AGENT_UP, agent=agent, claimed=len(starts), stopped=len(stops))


def unlink_agent(state: DispatchState, agent: str) -> None:
    """Record the loss of the link to an agent; its runs count as lost after their leases."""
    runner = state.registry.by_agent.get(agent)
    heard_ms = runner.heartbeat_ms if runner is not None and runner.heartbeat_ms else state.clock()
    state.registry.remove(agent)
    state.write_offs.note_link_lost(agent)
    runs = sum(task.agent == agent for _, task in state.runs.values())
    if agent in state.lost_agents:
        state.lost_agents[agent].heard_ms = heard_ms
    elif runs:
        state.lost_agents[agent] = LostAgent(heard_ms)
    emit(AGENT_LOST, agent=agent, runs=runs, heard_ms_ago=round(state.clock() - heard_ms))


def retire_agents(state: DispatchState, agents: frozenset[str]) -> frozenset[str]:
    """Place no more tasks at `agents`, but at all others; return those whose link may close.

    Closing the link of an agent would stop the runs of this dispatcher, and may lose the
    confirmation of outcomes that were received just now.
    """
    now_ms = state.clock()
    for name, runner in state.registry.by_agent.items():
        runner.is_retiring = name in agents
    return frozenset(
        name
        for name in agents - list_busy_agents(state)
        if name in state.registry.by_agent
        and now_ms - state.registry.by_agent[name].used_ms >= RETIRED_IDLE_MS
    )


def list_busy_agents(state: DispatchState) -> set[str]:
    """Return the agents with runs of this dispatcher, as far as it knows."""
    return {task.agent for _, task in state.runs.values()}


def check_for_final(state: DispatchState, job: Job, outcome: RunOutcome) -> None:
    """Give up a job whose task may be done for good although its run counts as lost.

    A new process of an agent doesn't know the ends that the former one made final.
    """
    key = (outcome.task, outcome.run)
    if key not in state.maybe_final:
        return
    state.maybe_final.discard(key)
    if outcome.state == RunState.LOST:
        give_up(state, job, "may_be_final")


def declare_runs_lost(state: DispatchState, now_ms: float) -> None:
    """End the runs of agents without a link once their leases must have lapsed.

    Whether the agent may have finalised outcomes matters only for jobs that are not answered
    yet: the tasks of the others are not started again.
    """
    for agent, lost in list(state.lost_agents.items()):
        lost.note_listing(state.is_unlisted(agent), now_ms)
        if agent in state.registry.by_agent:
            continue
        has_expired = lost.has_expired(now_ms) and state.is_unlisted_since(
            agent, lost.heard_ms + WRITE_OFF_CONTACT_MS
        )
        if has_expired:
            del state.lost_agents[agent]
        elif now_ms - lost.heard_ms < AGENT_LOST_AFTER_MS:
            continue
        ended = [
            (key, it)
            for key, it in state.runs.items()
            if it[1].agent == agent and (has_expired or it[0].stopping)
        ]
        if ended:
            emit(RUNS_WRITTEN_OFF, agent=agent, runs=len(ended))
        # No task of a job that is answered starts again here.
        again = [key for key, (job, _) in ended if not job.stopping]
        state.write_offs.note_written_off(agent, again)
        for (name, run), (job, task) in ended:
            del state.runs[name, run]
            state.maybe_final.discard((name, run))
            outcome = RunOutcome(name, run, RunState.LOST, RunReason.OWNER_SILENT, 0, 0, 0)
            end_run(state, job, task, outcome)
