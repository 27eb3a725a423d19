"""State that the dispatcher, the placer and the handler of outcomes of an entry share."""

from collections import Counter, defaultdict
from collections.abc import Iterable
from random import Random

from apricotrail.clocks import Clock
from apricotrail.entry._agents import AgentTable
from apricotrail.entry._job import Job
from apricotrail.metrics import EntryMetrics
from apricotrail.policy import FairQueue, QueuedJob, RetryBudget, RunTimes, TargetHealth
from apricotrail.settings import Settings
from apricotrail.wire.generated.ttypes import TaskState

__all__ = ["FIRST_RUN_MS", "DispatchState"]

FIRST_RUN_MS = 100.0  # assumed for tasks of a service until a run time is observed


class DispatchState:
    """Jobs of one entry, their queues, the agents, and what was observed of them.

    Parameters
    ----------
    agents : AgentTable
        Agents and their loads.
    clock : Clock
        Monotonic time in milliseconds.
    random : Random
        Source of the jitter of retries and probes, and of samples of targets.
    metrics : EntryMetrics
        Counts messages and outcomes.
    settings : Settings, optional
        Values of ``policy.*``.

    Attributes
    ----------
    jobs : dict of str to Job
        Unfinished jobs.
    jobs_by_caller : Counter
        Number of unfinished jobs of each caller.
    queues : dict of str to FairQueue
        Queued tasks by service.
    run_times : RunTimes
        Observed run times by service.
    health : TargetHealth
        Observed failures and run times of targets; ejects those that fail.
    retries : RetryBudget
        Limits how often refused starts are repeated.
    """

    def __init__(
        self,
        agents: AgentTable,
        clock: Clock,
        random: Random,
        metrics: EntryMetrics,
        settings: Settings | None = None,
    ) -> None:
        self.agents = agents
        self.clock = clock
        self.random = random
        self.metrics = metrics
        self.jobs: dict[str, Job] = {}
        self.jobs_by_caller: Counter[str] = Counter()
        self.queues: dict[str, FairQueue] = defaultdict(FairQueue)
        self.run_times = RunTimes(settings)
        self.health = TargetHealth(random, settings)
        self.retries = RetryBudget(settings)

    def enqueue(self, job: Job, tasks: Iterable[int]) -> None:
        """Queue tasks of a job for the first time or again."""
        ordered = sorted(tasks)
        queue = self.queues[job.service]
        if not ordered or queue.put_back(job.key, ordered):
            return
        queue.add(
            QueuedJob(
                job.key,
                job.caller,
                job.team,
                job.share,
                ordered,
                self.clock(),
                job.deadline_ms,
                self.run_times.mean_ms(job.service, FIRST_RUN_MS),
            )
        )

    def drop_queued(self, job: Job) -> None:
        """Settle every queued task of a job as not run."""
        self.queues[job.service].cancel(job.key)
        for task in list(job.queued):
            job.settle(task, TaskState.NOT_RUN)

    def add(self, job: Job) -> None:
        """Add an unfinished job; its tasks are queued apart from this."""
        self.jobs[job.key] = job
        self.jobs_by_caller[job.caller] += 1

    def forget(self, job: Job) -> bool:
        """Remove a job and its queued tasks; returns False if it was removed before."""
        if self.jobs.get(job.key) is not job:
            return False
        del self.jobs[job.key]
        self.jobs_by_caller[job.caller] -= 1
        if not self.jobs_by_caller[job.caller]:
            del self.jobs_by_caller[job.caller]
        self.queues[job.service].cancel(job.key)
        return True
