"""What the parts of the dispatcher share: jobs, queues, agents and what was learned of them."""

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

__all__ = ["FIRST_RUN_MS", "Work"]

FIRST_RUN_MS = 100.0


class Work:
    """Jobs of one entry and their queues.

    Parameters
    ----------
    agents : AgentTable
        Agents and their loads.
    clock : Clock
        Monotonic time in milliseconds.
    random : Random
        Source of jitter.
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
        Learned run times by service.
    health : TargetHealth
        Which targets fail.
    retries : RetryBudget
        Starts that may be repeated.
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
        """Queue tasks of a job, new or given back."""
        listed = sorted(tasks)
        queue = self.queues[job.service]
        if not listed or queue.put_back(job.key, listed):
            return
        queue.add(
            QueuedJob(
                job.key,
                job.caller,
                job.team,
                job.share,
                listed,
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
        """Take in a job."""
        self.jobs[job.key] = job
        self.jobs_by_caller[job.caller] += 1

    def forget(self, job: Job) -> bool:
        """Drop a job; returns False if it was dropped before."""
        if self.jobs.get(job.key) is not job:
            return False
        del self.jobs[job.key]
        self.jobs_by_caller[job.caller] -= 1
        if not self.jobs_by_caller[job.caller]:
            del self.jobs_by_caller[job.caller]
        self.queues[job.service].cancel(job.key)
        return True
