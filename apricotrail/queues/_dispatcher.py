"""Spreads the tasks of jobs over leased runners and tries again what has certainly ended.

A job lives in the memory of the dispatcher that received it. A task is started again only after its
former run is known to have ended: by the agent's word, or because the runner's lease of a silent
agent must have lapsed. Messages and the time come in, messages go out through `send`; no socket is
touched here.
"""

import asyncio
from collections.abc import Callable
from random import Random
from typing import Any, NamedTuple

from apricotrail.clocks import Clock
from apricotrail.events import Level, declare_event, emit
from apricotrail.metrics import make_metrics
from apricotrail.queues._admission import URGENT_MS, Admission, decide_admission
from apricotrail.queues._answers import KeptAnswers
from apricotrail.queues._board import RunnerBoard, RunnerView, sum_free_cpu
from apricotrail.queues._document import Queue
from apricotrail.queues._estimates import RunEstimates
from apricotrail.queues._jobs import Job, JobAnswer, JobRequest, JobState, Step, Task, TaskPhase
from apricotrail.wire.generated.ttypes import (
    ClaimRuns,
    OutcomesTaken,
    RunKey,
    RunnerLoad,
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
ORDER_VALID_MS = 400.0  # covers a loaded machine; under the time in which an owner is given up
# Owner silent at the agent (500), its tick (50) and the overdue stop (250), then the lease of 1 s
# on a clock that may be 2 % slow (1,050); the rest is margin. It counts from the last heartbeat:
# the agent can have had no later echo.
LOST_AGENT_MS = 1_950.0
# An agent that is lost to control, too, lets the lease lapse this long after control lists it no
# longer, at the latest; one that is still listed at the later moment takes note of ends as final.
UNLISTED_MS = 400.0
LISTED_LATEST_MS = 2_400.0
FROZEN_MS = 400.0  # under the agents' limit for a silent owner
MAX_QUEUE_MS = 400  # longest wait at one agent before the task is placed anew
MIN_QUEUE_MS = 60  # a few round trips: placing anew costs one
CLOSED_RETRY_MS = 1_000.0
MAX_UNSTARTED_MS = 600.0  # more than a stay in a queue; a job that none took by then is refused
LATE_STOP_MS = 1_500.0  # callers that still wait after their own time budget are answered this late

JOB_ADMITTED = declare_event(
    10001, "job_admitted", Level.INFO, "A job was taken; its tasks are being placed."
)
JOB_REFUSED = declare_event(
    10002, "job_refused", Level.INFO, "A job was refused before anything of it ran."
)
JOB_ANSWERED = declare_event(10003, "job_answered", Level.INFO, "A job got its final answer.")
RUNS_SENT = declare_event(
    10004, "runs_sent", Level.INFO, "Tasks of a job were sent to a runner's agent."
)
RUN_ENDED = declare_event(
    10005, "run_ended", Level.INFO, "A run ended otherwise than done; its task may be tried again."
)
AGENT_LOST = declare_event(
    10006, "runner_agent_lost", Level.WARNING, "The link to a runner's agent was lost."
)
AGENT_UP = declare_event(
    10007, "runner_agent_up", Level.INFO, "A runner's agent is linked; runs there were claimed."
)
DISPATCHER_FROZE = declare_event(
    10008,
    "dispatcher_froze",
    Level.WARNING,
    "This process stood still and agents have stopped its runs: its jobs start nothing more.",
)
RUNS_WRITTEN_OFF = declare_event(
    10009,
    "runs_written_off",
    Level.WARNING,
    "An agent stayed away so long that its runner's leases have lapsed; its runs are over.",
)

Send = Callable[[str, Any], bool]


class DispatcherParts(NamedTuple):
    """What a dispatcher is made of.

    Attributes
    ----------
    clock : Clock
        Monotonic time in milliseconds that counts suspended time.
    random : Random
        Source of samples and jitter.
    send : callable
        ``send(agent, message)`` sends without waiting; False if there is no link.
    is_unlisted : callable
        ``is_unlisted(agent)`` tells whether control is known to have lost an agent, too. Only then
        are its ends void that did not arrive here.
    """

    clock: Clock
    random: Random
    send: Send
    is_unlisted: Callable[[str], bool] = lambda agent: True


class _LostAgent:
    """An agent without a link: when it was heard last, and since when control lists it no longer.

    One that control may still have seen late is never written off: it may have made ends final.
    """

    def __init__(self, heard_ms: float) -> None:
        self.heard_ms = heard_ms
        self.unlisted_ms: float | None = None
        self.is_kept = False

    def note_listed(self, is_unlisted: bool, now_ms: float) -> None:
        """Take in whether control is known to have lost it."""
        if not is_unlisted:
            self.unlisted_ms = None
            self.is_kept = self.is_kept or now_ms - self.heard_ms >= LISTED_LATEST_MS
        elif self.unlisted_ms is None:
            self.unlisted_ms = now_ms

    def is_over(self, now_ms: float) -> bool:
        """Return whether its runs are over, and ends that did not arrive are void."""
        return (
            not self.is_kept
            and self.unlisted_ms is not None
            and now_ms - self.unlisted_ms >= UNLISTED_MS
            and now_ms - self.heard_ms >= LOST_AGENT_MS
        )


class Dispatcher:
    """Jobs under way at one process and the runs of their tasks.

    Parameters
    ----------
    parts : DispatcherParts
        Clock, random source and links.

    Attributes
    ----------
    board : RunnerBoard
        Runners known.
    estimates : RunEstimates
        Run times by queue.
    jobs : dict of str to Job
        Jobs under way by id.
    metrics : DispatcherMetrics
        Instruments.
    """

    def __init__(self, parts: DispatcherParts) -> None:
        self._clock = parts.clock
        self._random = parts.random
        self._send = parts.send
        self._is_unlisted = parts.is_unlisted
        self.board = RunnerBoard(parts.clock, parts.random)
        self.estimates = RunEstimates()
        self.jobs: dict[str, Job] = {}
        self.metrics = make_metrics("dispatcher")
        self._runs: dict[tuple[str, int], tuple[Job, Task]] = {}
        self._answers = KeptAnswers()
        self._lost: dict[str, _LostAgent] = {}
        self._alive_ms = parts.clock()
        self.metrics.open_jobs.watch(lambda: len(self.jobs))
        self.metrics.runners.watch(lambda: len(self._list_takers()))
        self.metrics.free_cpu_millis.watch(lambda: sum_free_cpu(self._list_takers()))

    # ---- jobs ----

    def submit(self, request: JobRequest, queue: Queue) -> "asyncio.Future[JobAnswer]":
        """Take a job, or refuse it at once; the future holds the answer."""
        self._check_alive()
        answer: asyncio.Future[JobAnswer] = asyncio.get_running_loop().create_future()
        present = self.jobs.get(request.job_id)
        if present is not None and present.stopping:
            answer.set_result(JobAnswer(JobState.UNFINISHED, "being_stopped"))
            return answer
        if present is not None:
            present.callers += 1
            return present.answer
        former = self._answers.find(request.job_id)
        if former is not None:
            answer.set_result(former)
            return answer
        admission = self._admit(request, queue)
        if admission.refusal is not None:
            self._refuse(request, queue, admission, answer)
            return answer
        job = Job(request, queue, self._clock(), answer)
        job.slack = self.estimates.find_slack(request, queue)
        job.callers = 1
        self.jobs[request.job_id] = job
        emit(
            JOB_ADMITTED,
            job=request.job_id,
            queue=queue.name,
            tasks=len(job.tasks),
            free_cpu=admission.free_cpu,
            runners=admission.runners,
            wait_ms=round(admission.wait_ms),
        )
        self._place(job)
        return answer

    def leave(self, job_id: str, answer: "asyncio.Future[JobAnswer]") -> None:
        """Note that a caller has gone; a job without callers is stopped."""
        job = self.jobs.get(job_id)
        if job is None or job.answer is not answer:
            return
        job.callers -= 1
        if job.callers <= 0:
            self._give_up(job, "caller_left")

    def would_admit(self, request: JobRequest, queue: Queue) -> bool:
        """Return whether a new job would be taken now."""
        return self._admit(request, queue).refusal is None

    def _admit(self, request: JobRequest, queue: Queue) -> Admission:
        if len(self.jobs) >= MAX_JOBS:
            return Admission("too_many_jobs", CLOSED_RETRY_MS)
        usable = self.board.list_usable(queue.pool)
        slack = self.estimates.find_slack(request, queue)
        return decide_admission(request, slack, usable, self._random)

    def _refuse(
        self,
        request: JobRequest,
        queue: Queue,
        admission: Admission,
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
            runners=admission.runners,
            wait_ms=round(admission.wait_ms),
            slack_ms=round(self.estimates.find_slack(request, queue).due_ms),
            retry_ms=round(admission.retry_after_ms),
        )
        reason = admission.refusal or ""
        answer.set_result(JobAnswer(JobState.REFUSED, reason, admission.retry_after_ms))

    # ---- agents ----

    def link_up(self, agent: str) -> None:
        """Begin to use an agent and claim the runs believed to be there."""
        self._check_alive()
        self._lost.pop(agent, None)
        view = self.board.add(agent)
        starts = []
        for (name, run), (job, task) in self._runs.items():
            if task.agent == agent:
                starts.append(self._make_start(job, task, name, run, 0))
                view.note_sent(job.request.steps[task.step])
        self._send(agent, ClaimRuns(starts))
        emit(AGENT_UP, agent=agent, claimed=len(starts))

    def link_down(self, agent: str) -> None:
        """Note that an agent can't be reached; its runs are written off after a while."""
        view = self.board.views.get(agent)
        heard_ms = view.beat_ms if view is not None and view.beat_ms else self._clock()
        self.board.remove(agent)
        runs = sum(task.agent == agent for _, task in self._runs.values())
        self._lost.setdefault(agent, _LostAgent(heard_ms))
        emit(AGENT_LOST, agent=agent, runs=runs, heard_ms_ago=round(self._clock() - heard_ms))

    def receive_beat(self, agent: str, load: RunnerLoad) -> None:
        """Take in an agent's heartbeat, which is echoed at once."""
        view = self.board.views.get(agent)
        if view is not None:
            view.beat_ms = self._clock()
            self.receive_load(agent, load)

    def receive_load(self, agent: str, load: RunnerLoad) -> None:
        """Take in an agent's report."""
        view = self.board.views.get(agent)
        if view is not None:
            view.note_load(load, self._clock())

    def receive_outcomes(self, agent: str, message: RunOutcomes) -> None:
        """Take in how runs ended, then place what waits."""
        self._check_alive()
        if message.load is not None:
            self.receive_load(agent, message.load)
        done = [
            RunKey(outcome.task, outcome.run)
            for outcome in message.outcomes or ()
            if outcome.state == RunState.DONE
        ]
        if done:
            self._send(agent, OutcomesTaken(done))
        touched: dict[str, Job] = {}
        for outcome in message.outcomes or ():
            found = self._runs.get((outcome.task, outcome.run))
            if found is None or found[1].agent != agent:
                continue
            del self._runs[outcome.task, outcome.run]
            self._end_run(*found, outcome)
            touched[found[0].job_id] = found[0]
        for job in touched.values():
            self._place(job)

    # ---- time ----

    def tick(self) -> None:
        """Write off runs of lost agents, place waiting tasks, end jobs that nobody waits for."""
        self._check_alive()
        now_ms = self._clock()
        self._write_off(now_ms)
        for job in list(self.jobs.values()):
            if now_ms > job.give_up_ms + LATE_STOP_MS:
                self._give_up(job, "late")
            else:
                self._place(job)
        self._answers.forget_old(now_ms)

    def _list_takers(self) -> list[RunnerView]:
        return [it for it in self.board.views.values() if it.load and it.load.accepting]

    def _check_alive(self) -> None:
        """Bar all jobs from further starts if this process stood still for long.

        Agents have stopped its runs then, and callers may have sent the jobs to others. What was
        done all the same is still answered.
        """
        now_ms = self._clock()
        gap_ms, self._alive_ms = now_ms - self._alive_ms, now_ms
        if gap_ms < FROZEN_MS:
            return
        emit(DISPATCHER_FROZE, gap_ms=round(gap_ms), jobs=len(self.jobs))
        for job in self.jobs.values():
            job.may_start = False

    def _write_off(self, now_ms: float) -> None:
        for agent, lost in list(self._lost.items()):
            lost.note_listed(self._is_unlisted(agent), now_ms)
            is_over = lost.is_over(now_ms)
            if is_over:
                del self._lost[agent]
            elif now_ms - lost.heard_ms < LOST_AGENT_MS:
                continue
            ended = [
                (key, it)
                for key, it in self._runs.items()
                if it[1].agent == agent and (is_over or it[0].stopping)
            ]
            if ended:
                emit(RUNS_WRITTEN_OFF, agent=agent, runs=len(ended))
            for (name, run), (job, task) in ended:
                del self._runs[name, run]
                outcome = RunOutcome(name, run, RunState.LOST, RunReason.OWNER_SILENT, 0, 0, 0)
                self._end_run(job, task, outcome)

    # ---- tasks ----

    def _place(self, job: Job) -> None:
        if job.stopping:
            return
        ready = job.list_ready()
        if not ready:
            return
        if not job.may_start:
            self._give_up(job, "dispatcher_froze")
            return
        usable = self.board.list_usable(job.queue.pool)
        has_begun = job.may_have_run or bool(job.list_sent())
        waited_ms = self._clock() - job.received_ms
        if not has_begun and (not usable or waited_ms > MAX_UNSTARTED_MS):
            reason = "overloaded" if usable else "no_runner"
            self._answer(job, JobAnswer(JobState.REFUSED, reason, CLOSED_RETRY_MS))
            return
        orders: dict[str, list[Task]] = {}
        for task in ready:
            step = job.request.steps[task.step]
            view = self._choose(job, usable, step, task)
            if view is not None:
                view.note_sent(step)
                task.agent = view.agent
                orders.setdefault(view.agent, []).append(task)
        for agent, tasks in orders.items():
            self._order(job, agent, tasks)

    def _choose(
        self, job: Job, usable: list[RunnerView], step: Step, task: Task
    ) -> RunnerView | None:
        if job.starts == 0 and task.index == 0:
            trial = self.board.find_trial(usable, step)
            if trial is not None:
                return trial
        limit = step.most_per_runner

        def is_allowed(agent: str) -> bool:
            if not limit:
                return True
            same = [it for it in job.tasks if it.step == task.step and it.agent == agent]
            return sum(it.phase is not TaskPhase.WAITING for it in same) < limit

        is_urgent = job.slack.due_ms - (self._clock() - job.received_ms) <= URGENT_MS
        return self.board.choose(usable, step, task, is_allowed, is_urgent)

    def _order(self, job: Job, agent: str, tasks: list[Task]) -> None:
        now_ms = self._clock()
        view = self.board.views[agent]
        left_ms = job.slack.due_ms - (now_ms - job.received_ms)
        # What is late already is not helped by moving from queue to queue.
        wait_ms = MAX_QUEUE_MS if left_ms <= 0 else max(MIN_QUEUE_MS, left_ms / 2)
        wait_ms = int(min(MAX_QUEUE_MS, wait_ms))
        starts = []
        for task in tasks:
            task.run += 1
            task.phase = TaskPhase.SENT
            task.sent_ms = now_ms
            job.starts += 1
            self._runs[task.name, task.run] = (job, task)
            starts.append(self._make_start(job, task, task.name, task.run, wait_ms))
        valid_until_ms = view.load.clock_ms + (now_ms - view.heard_ms) + ORDER_VALID_MS
        sent = self._send(agent, StartRuns(starts, int(valid_until_ms)))
        emit(
            RUNS_SENT,
            job=job.job_id,
            agent=agent,
            runs=[[task.name.rpartition(".")[2], task.run] for task in tasks],
            free_cpu=view.free_cpu(),
            load_age_ms=round(now_ms - view.heard_ms),
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
            job.left[task.step] -= 1
            if job.is_done() and not job.stopping:
                self._answer(job, JobAnswer(JobState.COMPLETED))
            elif job.stopping:
                self._forget_if_over(job)
            return
        task.phase = TaskPhase.WAITING
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
        )
        if outcome.reason == RunReason.SUPERSEDED:
            task.run = max(task.run, outcome.highest_run)
        if outcome.state in (RunState.FAILED, RunState.LOST, RunState.STOPPED):
            task.avoid.add(task.agent)
        if job.stopping:
            self._forget_if_over(job)
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
        )

    # ---- ends of jobs ----

    def _give_up(self, job: Job, reason: str) -> None:
        if job.stopping:
            return
        if not job.may_have_run and not job.list_sent():
            self._answer(job, JobAnswer(JobState.REFUSED, reason, CLOSED_RETRY_MS))
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
            self._answers.keep(job.job_id, answer, now_ms)
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
        self._forget_if_over(job)

    def _forget_if_over(self, job: Job) -> None:
        if not job.list_sent() and self.jobs.get(job.job_id) is job:
            del self.jobs[job.job_id]
