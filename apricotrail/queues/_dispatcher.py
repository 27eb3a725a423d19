"""Places the tasks of jobs on leased runners and retries tasks whose run has certainly ended.

A job is kept in memory by the dispatcher that received it. A task is started again only after its
previous run is known to have ended: its agent reported so, or the agent was silent until the lease
of its runner must have lapsed. This module uses no socket: messages and the time are passed in, and
messages are sent through `DispatcherParts.send`.
"""

import asyncio
from collections.abc import Callable
from random import Random
from typing import Any, NamedTuple

from apricotrail.clocks import Clock
from apricotrail.events import Level, declare_event, emit
from apricotrail.membership import (
    AGENT_LOST_AFTER_MS,
    MAX_NOTICE_MS,
    START_VALID_MS,
    WRITE_OFF_CONTACT_MS,
)
from apricotrail.metrics import make_metrics
from apricotrail.queues._admission import (
    URGENT_MS,
    AdmissionDecision,
    decide_admission,
    fits_somewhere,
)
from apricotrail.queues._answers import AnswerCache
from apricotrail.queues._crashes import CrashHistory, Restart
from apricotrail.queues._document import Queue
from apricotrail.queues._estimates import RunEstimates
from apricotrail.queues._jobs import Job, JobAnswer, JobRequest, JobState, Step, Task, TaskPhase
from apricotrail.queues._registry import RunnerRegistry, RunnerStatus, sum_free_cpu
from apricotrail.queues._write_offs import WriteOffs
from apricotrail.wire.generated.ttypes import (
    ClaimRuns,
    OutcomesTaken,
    RunKey,
    RunnerLoad,
    RunnerLost,
    RunOutcome,
    RunOutcomes,
    RunReason,
    RunStart,
    RunState,
    StartRuns,
    StopRuns,
)

__all__ = ["Dispatcher", "DispatcherParts"]

MAX_JOBS = 8_192
# An agent that lost its links to control, too, lets the lease lapse at most UNLISTED_FOR_MS after
# control stopped listing it. One that is still listed STILL_LISTED_MS after its last heartbeat
# finalises outcomes: it acknowledges them at the runner, and their tasks must not run again.
UNLISTED_FOR_MS = 400.0
STILL_LISTED_MS = 2_400.0
# After a pause of this process of at least this length, its open jobs start nothing more; less than
# the agents' limit for a silent owner.
MAX_PAUSE_MS = 400.0
# After a shorter pause, time for what came meanwhile, callers that left included, to be read before
# agents are told that this process is alive.
SETTLE_MS = 20.0
SETTLE_AGAIN_MS = 500.0  # a process that is slow for long would never get to it otherwise
RETIRED_IDLE_MS = 1_000.0  # time without a start or an outcome before a link is closed
MAX_QUEUE_WAIT_MS = 400  # longest wait at one agent before the task is placed again
ISOLATED_WAIT_MS = 2_000  # longest wait for a runner to become idle; most runs are shorter
MIN_QUEUE_WAIT_MS = 60  # a few round trips, as placing a task again costs one
RETRY_AFTER_MS = 1_000.0  # told to callers of jobs that are refused here
MAX_START_WAIT_MS = 600.0  # longer than MAX_QUEUE_WAIT_MS; refuses jobs of which nothing has begun
LATE_ANSWER_MS = 1_500.0  # callers that still wait this long after their deadline get an answer

JOB_ADMITTED = declare_event(
    10001, "job_admitted", Level.INFO, "A job was admitted; its tasks are being placed on runners."
)
JOB_REFUSED = declare_event(
    10002,
    "job_refused",
    Level.INFO,
    "A job was refused at admission, so nothing of it ran; the caller may retry after retry_ms.",
)
JOB_ANSWERED = declare_event(
    10003,
    "job_answered",
    Level.INFO,
    "A job got its final answer; reason tells why if it was not completed.",
)
RUNS_SENT = declare_event(
    10004,
    "runs_sent",
    Level.INFO,
    "Tasks of a job were sent to the agent of a runner to be started.",
)
RUN_ENDED = declare_event(
    10005,
    "run_ended",
    Level.INFO,
    "A run did not end as done; its task is retried unless its job has ended.",
)
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
DISPATCHER_FROZE = declare_event(
    10008,
    "dispatcher_froze",
    Level.WARNING,
    "This process was paused, so agents have stopped its runs; its open jobs start no more tasks.",
)
RUNS_WRITTEN_OFF = declare_event(
    10009,
    "runs_written_off",
    Level.WARNING,
    "The runner leases of a silent agent have lapsed; its runs count as lost and may be retried.",
)
TASK_ISOLATED = declare_event(
    10010,
    "task_isolated",
    Level.INFO,
    "A task that may have crashed its runners is started where nothing else runs.",
)
TASK_GIVEN_UP = declare_event(
    10011,
    "task_given_up",
    Level.WARNING,
    "The runners that started a task crashed, the last one with nothing else running there. It is "
    "not started again, and its job has failed. Look at the job's input.",
)

Send = Callable[[str, Any], bool]


class DispatcherParts(NamedTuple):
    """Clock, random source and links that a `Dispatcher` works with.

    Attributes
    ----------
    clock : Clock
        Monotonic time in milliseconds that counts suspended time.
    random : Random
        Source of samples and jitter.
    send : callable
        ``send(agent, message)`` sends without waiting; returns False if there is no link.
    is_unlisted : callable
        ``is_unlisted(agent)`` tells whether control is known to have lost its link to an agent,
        too. Only then may outcomes that did not arrive here be discarded.
    is_unlisted_since : callable
        ``is_unlisted_since(agent, as_of_ms)`` tells the same by replicas that have all received a
        heartbeat sent at `as_of_ms` or later.
    """

    clock: Clock
    random: Random
    send: Send
    is_unlisted: Callable[[str], bool] = lambda agent: True
    is_unlisted_since: Callable[[str, float], bool] = lambda agent, as_of_ms: True


class _LostAgent:
    """An agent without a link: when it was last heard, and since when control no longer lists it.

    If control still listed the agent `STILL_LISTED_MS` after it was last heard, its runs are never
    declared lost, except those of jobs that are answered: the agent may have finalised their
    outcomes. A link that the agent may not have seen changes nothing about that.
    """

    def __init__(self, heard_ms: float) -> None:
        self.heard_ms = self.first_heard_ms = heard_ms
        self.unlisted_ms: float | None = None
        self.may_have_finalised = False

    def note_listing(self, is_unlisted: bool, now_ms: float) -> None:
        """Record whether control is known to have lost the agent."""
        if not is_unlisted:
            self.unlisted_ms = None
            self.may_have_finalised = (
                self.may_have_finalised or now_ms - self.first_heard_ms >= STILL_LISTED_MS
            )
        elif self.unlisted_ms is None:
            self.unlisted_ms = now_ms

    def has_expired(self, now_ms: float) -> bool:
        """Return whether its runs have ended, so that outcomes not received are discarded."""
        return (
            not self.may_have_finalised
            and self.unlisted_ms is not None
            and now_ms - self.unlisted_ms >= UNLISTED_FOR_MS
            and now_ms - self.heard_ms >= AGENT_LOST_AFTER_MS
        )


class Dispatcher:
    """Owner of the open jobs of one process and of the runs of their tasks.

    Parameters
    ----------
    parts : DispatcherParts
        Clock, random source and links.

    Attributes
    ----------
    registry : RunnerRegistry
        Runners of the linked agents.
    estimates : RunEstimates
        Run times by queue.
    crashes : CrashHistory
        Tasks whose runners crashed.
    jobs : dict of str to Job
        Open jobs by id: not answered yet, or with runs that have not ended.
    metrics : DispatcherMetrics
        Metrics of the dispatcher role.
    """

    def __init__(self, parts: DispatcherParts) -> None:
        self._clock = parts.clock
        self._random = parts.random
        self._send = parts.send
        self._is_unlisted = parts.is_unlisted
        self._is_unlisted_since = parts.is_unlisted_since
        self.registry = RunnerRegistry(parts.clock, parts.random)
        self.estimates = RunEstimates()
        self.crashes = CrashHistory(parts.clock)
        self.jobs: dict[str, Job] = {}
        self.metrics = make_metrics("dispatcher")
        self._runs: dict[tuple[str, int], tuple[Job, Task]] = {}
        self._answers = AnswerCache()
        self._lost_agents: dict[str, _LostAgent] = {}
        self._write_offs = WriteOffs(parts.clock)
        # Open runs whose ends as done may have become final while their agents were out of reach.
        self._maybe_final: set[tuple[str, int]] = set()
        self._last_active_ms = parts.clock()
        self._settled_ms = parts.clock() - SETTLE_AGAIN_MS
        self.metrics.open_jobs.watch(lambda: len(self.jobs))
        self.metrics.runners.watch(lambda: len(self._list_accepting()))
        self.metrics.free_cpu_millis.watch(lambda: sum_free_cpu(self._list_accepting()))

    # ---- jobs ----

    def submit(self, request: JobRequest, queue: Queue) -> "asyncio.Future[JobAnswer]":
        """Admit a job or refuse it at once; the future receives the answer.

        A job that is sent again attaches to the open one, or gets the cached answer. If the open
        one is answered and only waits for its runs to end, the answer is that it is being stopped.
        """
        self.check_for_pause()
        answer: asyncio.Future[JobAnswer] = asyncio.get_running_loop().create_future()
        present = self.jobs.get(request.job_id)
        if present is not None and present.stopping:
            answer.set_result(JobAnswer(JobState.UNFINISHED, "being_stopped"))
            return answer
        if present is not None:
            present.waiting_callers += 1
            return present.answer
        cached_answer = self._answers.find(request.job_id)
        if cached_answer is not None:
            answer.set_result(cached_answer)
            return answer
        admission = self._decide_admission(request, queue)
        # Runs of it were lost at another dispatcher, so a refusal could not say that nothing ran.
        may_have_run = self.crashes.is_known(request.job_id)
        if admission.refusal is not None and not may_have_run:
            self._refuse(request, queue, admission, answer)
            return answer
        job = Job(request, queue, self._clock(), answer)
        job.may_have_run = may_have_run
        job.slack = self.estimates.compute_slack(request, queue)
        job.waiting_callers = 1
        self.jobs[request.job_id] = job
        emit(
            JOB_ADMITTED,
            job=request.job_id,
            queue=queue.name,
            tasks=len(job.tasks),
            free_cpu=admission.free_cpu,
            runners=admission.runner_count,
            wait_ms=round(admission.wait_ms),
        )
        self._place(job)
        return answer

    def detach_caller(self, job_id: str, answer: "asyncio.Future[JobAnswer]") -> None:
        """Note that a caller has disconnected; a job without waiting callers is stopped."""
        job = self.jobs.get(job_id)
        if job is None or job.answer is not answer:
            return
        job.waiting_callers -= 1
        if job.waiting_callers <= 0:
            self._give_up(job, "caller_left")

    def would_admit(self, request: JobRequest, queue: Queue) -> bool:
        """Return whether a new job would be admitted now."""
        return self._decide_admission(request, queue).refusal is None

    def _decide_admission(self, request: JobRequest, queue: Queue) -> AdmissionDecision:
        if len(self.jobs) >= MAX_JOBS:
            return AdmissionDecision("too_many_jobs", RETRY_AFTER_MS)
        usable = self.registry.list_usable(queue.pool)
        slack = self.estimates.compute_slack(request, queue)
        return decide_admission(request, slack, usable, self._random)

    def _refuse(
        self,
        request: JobRequest,
        queue: Queue,
        admission: AdmissionDecision,
        answer: "asyncio.Future[JobAnswer]",
    ) -> None:
        self.metrics.jobs.add(JobState.REFUSED.value)
        self.metrics.refusals.add(admission.refusal or "")
        emit(
            JOB_REFUSED,
            job=request.job_id,
            queue=queue.name,
            reason=admission.refusal,
            free_cpu=admission.free_cpu,
            runners=admission.runner_count,
            wait_ms=round(admission.wait_ms),
            slack_ms=round(self.estimates.compute_slack(request, queue).due_ms),
            retry_ms=round(admission.retry_after_ms),
        )
        reason = admission.refusal or ""
        answer.set_result(JobAnswer(JobState.REFUSED, reason, admission.retry_after_ms))

    # ---- agents ----

    def link_up(self, agent: str) -> None:
        """Add the runner of a linked agent, and claim the runs believed to be there.

        Runs of jobs that are answered are stopped: the stop may have been lost with the last link.
        """
        self.check_for_pause()
        runner = self.registry.add(agent)
        lost = self._lost_agents.get(agent)
        starts, stops = [], []
        for (name, run), (job, task) in self._runs.items():
            if task.agent != agent:
                continue
            runner.note_sent(job.request.steps[task.step], task.is_isolated)
            if job.stopping:
                stops.append(RunKey(name, run))
            else:
                starts.append(self._make_start(job, task, name, run, 0))
                if lost is not None and lost.may_have_finalised:
                    self._maybe_final.add((name, run))
        self._send(agent, ClaimRuns(starts, *self._write_offs.list_for_claim(agent)))
        if stops:
            self._send(agent, StopRuns(stops))
        emit(AGENT_UP, agent=agent, claimed=len(starts), stopped=len(stops))

    def link_down(self, agent: str) -> None:
        """Record the loss of the link to an agent; its runs count as lost after their leases."""
        runner = self.registry.by_agent.get(agent)
        heard_ms = (
            runner.heartbeat_ms if runner is not None and runner.heartbeat_ms else self._clock()
        )
        self.registry.remove(agent)
        self._write_offs.note_link_lost(agent)
        runs = sum(task.agent == agent for _, task in self._runs.values())
        if agent in self._lost_agents:
            self._lost_agents[agent].heard_ms = heard_ms
        elif runs:
            self._lost_agents[agent] = _LostAgent(heard_ms)
        emit(AGENT_LOST, agent=agent, runs=runs, heard_ms_ago=round(self._clock() - heard_ms))

    def retire_agents(self, agents: frozenset[str]) -> frozenset[str]:
        """Place no more tasks at `agents`, but at all others; return those whose link may close.

        Closing the link of an agent would stop the runs of this dispatcher, and may lose the
        confirmation of outcomes that were received just now.
        """
        now_ms = self._clock()
        for name, runner in self.registry.by_agent.items():
            runner.is_retiring = name in agents
        busy = self.list_busy_agents()
        return frozenset(
            name
            for name in agents - busy
            if name in self.registry.by_agent
            and now_ms - self.registry.by_agent[name].used_ms >= RETIRED_IDLE_MS
        )

    def has_waiting(self) -> bool:
        """Return whether tasks wait for a runner or a step, or runs for news of a lost agent."""
        return bool(self._lost_agents) or any(
            task.phase is TaskPhase.WAITING
            for job in self.jobs.values()
            if not job.stopping
            for task in job.tasks
        )

    def list_busy_agents(self) -> set[str]:
        """Return the agents with runs of this dispatcher, as far as it knows."""
        return {task.agent for _, task in self._runs.values()}

    def receive_heartbeat(self, agent: str, load: RunnerLoad) -> None:
        """Record an agent's heartbeat, which is echoed at once, and the report in it."""
        runner = self.registry.by_agent.get(agent)
        if runner is not None:
            runner.heartbeat_ms = self._clock()
            self.receive_report(agent, load)

    def receive_echo(self, agent: str, sent_ms: float) -> None:
        """Record that an agent echoed a heartbeat sent at `sent_ms`, and has read all before it."""
        if self._write_offs.note_echo(agent, sent_ms):
            self._lost_agents.pop(agent, None)

    def receive_report(self, agent: str, load: RunnerLoad) -> None:
        """Store an agent's report of its runner."""
        runner = self.registry.by_agent.get(agent)
        if runner is not None:
            runner.note_report(load, self._clock())
            self.crashes.note_boot(agent, load.boot, load.accepting)

    def receive_runner_lost(self, agent: str, lost: RunnerLost) -> None:
        """Record which tasks were at an agent's runner when it was lost."""
        self.crashes.note_loss(agent, lost)

    def receive_outcomes(self, agent: str, message: RunOutcomes) -> None:
        """Process how runs ended, confirm those that are done, and place the tasks that wait.

        Outcomes of unknown runs change nothing, but are confirmed all the same, unless the run was
        written off.
        """
        self.check_for_pause()
        if message.load is not None:
            self.receive_report(agent, message.load)
        if agent in self.registry.by_agent:
            self.registry.by_agent[agent].used_ms = self._clock()
        done = [
            (outcome.task, outcome.run)
            for outcome in message.outcomes or ()
            if outcome.state == RunState.DONE
            and not self._write_offs.is_written_off(agent, (outcome.task, outcome.run))
        ]
        if done:
            self._send(agent, OutcomesTaken([RunKey(*key) for key in done]))
            self._write_offs.note_taken(agent, done)
        jobs_to_place: dict[str, Job] = {}
        for outcome in message.outcomes or ():
            found = self._runs.get((outcome.task, outcome.run))
            if found is None or found[1].agent != agent:
                continue
            del self._runs[outcome.task, outcome.run]
            self._end_run(*found, outcome)
            self._check_for_final(found[0], outcome)
            jobs_to_place[found[0].job_id] = found[0]
        for job in jobs_to_place.values():
            self._place(job)

    def _check_for_final(self, job: Job, outcome: RunOutcome) -> None:
        """Give up a job whose task may be done for good although its run counts as lost.

        A new process of an agent doesn't know the ends that the former one made final.
        """
        key = (outcome.task, outcome.run)
        if key not in self._maybe_final:
            return
        self._maybe_final.discard(key)
        if outcome.state == RunState.LOST:
            self._give_up(job, "may_be_final")

    # ---- time ----

    def tick(self) -> None:
        """Declare runs of lost agents lost, place waiting tasks, and answer overdue jobs."""
        self.check_for_pause()
        now_ms = self._clock()
        self._declare_runs_lost(now_ms)
        for job in list(self.jobs.values()):
            if now_ms > job.deadline_ms + LATE_ANSWER_MS:
                self._give_up(job, "late")
            else:
                self._place(job)
        self._answers.evict(now_ms)
        self.crashes.evict()

    def _list_accepting(self) -> list[RunnerStatus]:
        return [it for it in self.registry.by_agent.values() if it.load and it.load.accepting]

    def check_for_pause(self) -> float:
        """Note a pause of this process; return how long, in ms, messages of before may be unread.

        After `MAX_PAUSE_MS` or more all open jobs are barred from further starts: agents have then
        stopped their runs, and callers may have sent the jobs to other dispatchers. Jobs whose runs
        were done all the same are still answered.
        """
        now_ms = self._clock()
        gap_ms, self._last_active_ms = now_ms - self._last_active_ms, now_ms
        if gap_ms >= MAX_NOTICE_MS and now_ms >= self._settled_ms + SETTLE_AGAIN_MS:
            self._settled_ms = now_ms + SETTLE_MS
        if gap_ms >= MAX_PAUSE_MS:
            emit(DISPATCHER_FROZE, gap_ms=round(gap_ms), jobs=len(self.jobs))
            for job in self.jobs.values():
                job.may_start = False
        return max(0.0, self._settled_ms - now_ms)

    def _declare_runs_lost(self, now_ms: float) -> None:
        """End the runs of agents without a link once their leases must have lapsed.

        Whether the agent may have finalised outcomes matters only for jobs that are not answered
        yet: the tasks of the others are not started again.
        """
        for agent, lost in list(self._lost_agents.items()):
            lost.note_listing(self._is_unlisted(agent), now_ms)
            if agent in self.registry.by_agent:
                continue
            has_expired = lost.has_expired(now_ms) and self._is_unlisted_since(
                agent, lost.heard_ms + WRITE_OFF_CONTACT_MS
            )
            if has_expired:
                del self._lost_agents[agent]
            elif now_ms - lost.heard_ms < AGENT_LOST_AFTER_MS:
                continue
            ended = [
                (key, it)
                for key, it in self._runs.items()
                if it[1].agent == agent and (has_expired or it[0].stopping)
            ]
            if ended:
                emit(RUNS_WRITTEN_OFF, agent=agent, runs=len(ended))
            # No task of a job that is answered starts again here.
            again = [key for key, (job, _) in ended if not job.stopping]
            self._write_offs.note_written_off(agent, again)
            for (name, run), (job, task) in ended:
                del self._runs[name, run]
                self._maybe_final.discard((name, run))
                outcome = RunOutcome(name, run, RunState.LOST, RunReason.OWNER_SILENT, 0, 0, 0)
                self._end_run(job, task, outcome)

    # ---- tasks ----

    def _place(self, job: Job) -> None:
        """Send the tasks that can start now to runners.

        A job with a task that crashes its runners has failed. One of which nothing can have begun
        is refused if its pool has no usable runner that a task of it fits, or if it has waited for
        longer than `MAX_START_WAIT_MS`. One that may not start any more is given up.
        """
        if job.stopping:
            return
        ready = job.list_ready()
        if not ready:
            return
        if not job.may_start:
            self._give_up(job, "dispatcher_froze")
            return
        restarts = {task.name: self.crashes.decide(task.name) for task in ready}
        if Restart.NEVER in restarts.values():
            self._fail_deadly(job, [name for name, it in restarts.items() if it is Restart.NEVER])
            return
        usable = self.registry.list_usable(job.queue.pool)
        may_have_begun = job.may_have_run or bool(job.list_sent())
        refusal = None if may_have_begun else self._find_refusal(job, usable)
        if refusal is not None:
            self._answer(job, JobAnswer(JobState.REFUSED, refusal, RETRY_AFTER_MS))
            return
        tasks_by_agent: dict[str, list[Task]] = {}
        for task in ready:
            step = job.request.steps[task.step]
            if restarts[task.name] is Restart.LATER:
                continue
            task.is_isolated = restarts[task.name] is Restart.ISOLATED
            runner = self._choose(job, usable, step, task)
            if runner is not None:
                runner.note_sent(step, task.is_isolated)
                task.agent = runner.agent
                tasks_by_agent.setdefault(runner.agent, []).append(task)
        for agent, tasks in tasks_by_agent.items():
            self._send_starts(job, agent, tasks)

    def _find_refusal(self, job: Job, usable: list[RunnerStatus]) -> str | None:
        """Return why a job of which nothing has begun is refused; None if it may wait on.

        Runners may have left, or have shrunk, since it was admitted.
        """
        if not usable:
            return "no_runner"
        if not all(fits_somewhere(step, usable) for step in job.request.steps):
            return "no_fitting_runner"
        is_overdue = self._clock() - job.received_ms > MAX_START_WAIT_MS
        return "overloaded" if is_overdue else None

    def _choose(
        self, job: Job, usable: list[RunnerStatus], step: Step, task: Task
    ) -> RunnerStatus | None:
        """Return the runner for a task, or None if it must wait.

        The first task of a job may be the trial run of an unhealthy runner.
        """
        limit = step.max_per_runner

        def is_allowed(agent: str) -> bool:
            if not limit:
                return True
            same = [it for it in job.tasks if it.step == task.step and it.agent == agent]
            return sum(it.phase is not TaskPhase.WAITING for it in same) < limit

        if task.is_isolated:
            down = self.crashes.list_at_risk()
            return self.registry.choose_isolated(job.queue.pool, step, task, is_allowed, down)
        if job.starts == 0 and task.index == 0:
            trial = self.registry.find_trial_runner(usable, step)
            if trial is not None:
                return trial
        is_urgent = job.slack.due_ms - (self._clock() - job.received_ms) <= URGENT_MS
        return self.registry.choose(usable, step, task, is_allowed, is_urgent)

    def _send_starts(self, job: Job, agent: str, tasks: list[Task]) -> None:
        now_ms = self._clock()
        runner = self.registry.by_agent[agent]
        runner.used_ms = now_ms
        left_ms = job.slack.due_ms - (now_ms - job.received_ms)
        # A task that is late already gains nothing from being moved between queues.
        wait_ms = MAX_QUEUE_WAIT_MS if left_ms <= 0 else max(MIN_QUEUE_WAIT_MS, left_ms / 2)
        wait_ms = int(min(MAX_QUEUE_WAIT_MS, wait_ms))
        starts = []
        for task in tasks:
            task.run += 1
            task.phase = TaskPhase.SENT
            task.sent_ms = now_ms
            job.starts += 1
            self._runs[task.name, task.run] = (job, task)
            if task.is_isolated:
                self._log_isolated(task)
            task_wait_ms = ISOLATED_WAIT_MS if task.is_isolated else wait_ms
            starts.append(self._make_start(job, task, task.name, task.run, task_wait_ms))
        # On the agent's clock, counted on from its latest report.
        valid_until_ms = runner.load.clock_ms + (now_ms - runner.reported_ms) + START_VALID_MS
        sent = self._send(agent, StartRuns(starts, int(valid_until_ms)))
        emit(
            RUNS_SENT,
            job=job.job_id,
            agent=agent,
            runs=[[task.name.rpartition(".")[2], task.run] for task in tasks],
            free_cpu=runner.free_cpu(),
            load_age_ms=round(now_ms - runner.reported_ms),
            sent=sent,
        )

    def _end_run(self, job: Job, task: Task, outcome: RunOutcome) -> None:
        state = RunState._VALUES_TO_NAMES.get(outcome.state, "")
        reason = RunReason._VALUES_TO_NAMES.get(outcome.reason, "")
        self.metrics.runs.add(state)
        self.metrics.placing_ms.observe(outcome.waited_ms)
        if outcome.state == RunState.DONE:
            job.may_have_run = True
            self.estimates.note_run(job.queue.name, outcome.run_ms)
            task.phase = TaskPhase.DONE
            job.unfinished[task.step] -= 1
            if job.is_done() and not job.stopping:
                self._answer(job, JobAnswer(JobState.COMPLETED))
            elif job.stopping:
                self._forget_if_ended(job)
            return
        task.phase = TaskPhase.WAITING
        task.losses += outcome.state == RunState.LOST
        job.may_have_run = job.may_have_run or outcome.state != RunState.NOT_RUN
        self.metrics.retries.add(reason)
        emit(
            RUN_ENDED,
            job=job.job_id,
            task=task.name,
            run=outcome.run,
            agent=task.agent,
            state=state,
            reason=reason,
            run_ms=outcome.run_ms,
            waited_ms=outcome.waited_ms,
            failures=task.failures,
            losses=task.losses,
        )
        # The runner has seen a higher number of a run; the next one must be above it.
        if outcome.reason == RunReason.SUPERSEDED:
            task.run = max(task.run, outcome.highest_run)
        if outcome.state in (RunState.FAILED, RunState.LOST, RunState.STOPPED):
            task.avoid.add(task.agent)
        if job.stopping:
            self._forget_if_ended(job)
            return
        if outcome.state == RunState.FAILED:
            task.failures += 1
            if task.failures >= job.queue.attempts:
                self._stop_runs(job)
                self._answer(job, JobAnswer(JobState.FAILED, "attempts"))

    def _make_start(self, job: Job, task: Task, name: str, run: int, wait_ms: int) -> RunStart:
        step = job.request.steps[task.step]
        passed_ms = self._clock() - job.received_ms
        return RunStart(
            name,
            run,
            job.request.spec,
            step.cpu_millis,
            step.memory_mb,
            int(self.estimates.estimate_ms(job.queue.name, step.estimate_ms)),
            job.queue.priority,
            wait_ms,
            int(job.slack.due_ms - passed_ms),
            int(job.slack.late_due_ms - passed_ms),
            task.is_isolated,
        )

    def _log_isolated(self, task: Task) -> None:
        self.metrics.isolated_runs.add()
        emit(
            TASK_ISOLATED,
            task=task.name,
            run=task.run,
            agent=task.agent,
            lost_at=self.crashes.list_lost_at(task.name),
        )

    # ---- ends of jobs ----

    def _fail_deadly(self, job: Job, names: list[str]) -> None:
        """Answer a job as failed, since the tasks in `names` crash the runners that start them."""
        for name in names:
            self.metrics.deadly_tasks.add()
            emit(TASK_GIVEN_UP, task=name, lost_at=self.crashes.list_lost_at(name))
        self._stop_runs(job)
        self._answer(job, JobAnswer(JobState.FAILED, "crashes"))

    def _give_up(self, job: Job, reason: str) -> None:
        """Answer a job as unfinished and stop its runs; refuse it if nothing of it can have run."""
        if job.stopping:
            return
        if not job.may_have_run and not job.list_sent():
            self._answer(job, JobAnswer(JobState.REFUSED, reason, RETRY_AFTER_MS))
            return
        self._stop_runs(job)
        self._answer(job, JobAnswer(JobState.UNFINISHED, reason))

    def _stop_runs(self, job: Job) -> None:
        by_agent: dict[str, list[RunKey]] = {}
        for task in job.list_sent():
            by_agent.setdefault(task.agent, []).append(RunKey(task.name, task.run))
        for agent, keys in by_agent.items():
            self._send(agent, StopRuns(keys))

    def _answer(self, job: Job, answer: JobAnswer) -> None:
        job.stopping = True
        now_ms = self._clock()
        self.metrics.jobs.add(answer.state.value)
        self.metrics.response_ms.observe(now_ms - job.received_ms)
        if not job.answer.done():
            job.answer.set_result(answer)
        if answer.state in (JobState.COMPLETED, JobState.FAILED):
            self._answers.store(job.job_id, answer, now_ms)
        emit(
            JOB_ANSWERED,
            job=job.job_id,
            queue=job.queue.name,
            state=answer.state.value,
            reason=answer.reason,
            took_ms=round(now_ms - job.received_ms),
            starts=job.starts,
            tasks=len(job.tasks),
        )
        self._forget_if_ended(job)

    def _forget_if_ended(self, job: Job) -> None:
        if not job.list_sent() and self.jobs.get(job.job_id) is job:
            del self.jobs[job.job_id]
