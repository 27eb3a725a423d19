"""State that the parts of a dispatcher share: open jobs, their runs, and what is known of runners.

The modules beside this one hold the decisions as functions of this state: admission, placement,
outcomes of runs, lost agents and answers.
"""

from collections import OrderedDict
from collections.abc import Callable
from random import Random
from typing import Any, NamedTuple

from apricotrail.clocks import Clock
from apricotrail.metrics import make_metrics
from apricotrail.queues._answers import AnswerCache
from apricotrail.queues._crashes import CrashHistory
from apricotrail.queues._estimates import RunEstimates
from apricotrail.queues._jobs import Job, Task
from apricotrail.queues._lost_agents import LostAgent
from apricotrail.queues._registry import RunnerRegistry
from apricotrail.queues._write_offs import WriteOffs

__all__ = ["DispatcherParts", "DispatchState"]

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
    max_open_tasks : int
        Tasks of all open jobs; a job that would exceed it is refused.
    """

    clock: Clock
    random: Random
    send: Send
    is_unlisted: Callable[[str], bool] = lambda agent: True
    is_unlisted_since: Callable[[str, float], bool] = lambda agent, as_of_ms: True
    max_open_tasks: int = 100_000


class DispatchState:
    """Open jobs of one dispatcher, their runs, and what it knows of runners and run times.

    Parameters
    ----------
    parts : DispatcherParts
        Clock, random source and links.
    start_valid_ms : float
        Time after which an agent refuses a start message.

    Attributes
    ----------
    clock, random, send, is_unlisted, is_unlisted_since, max_open_tasks
        As in `DispatcherParts`.
    registry : RunnerRegistry
        Runners of the linked agents.
    estimates : RunEstimates
        Run times by queue.
    crashes : CrashHistory
        Tasks whose runners crashed.
    jobs : dict of str to Job
        Open jobs by id: not answered yet, or with runs that have not ended.
    runs : dict
        Job and task of each run that was sent and is not known to have ended, by task name and run
        number.
    unplaced : OrderedDict of str to int
        Jobs of which tasks are placed in later turns of the event loop, and at which task to go on.
    lost_agents : dict of str to LostAgent
        Agents without a link at which runs of open jobs were.
    write_offs : WriteOffs
        Runs that were written off or taken, which agents have to be told.
    maybe_final : set
        Open runs whose ends as done may have become final while their agents were out of reach.
    answers : AnswerCache
        Final answers.
    metrics : DispatcherMetrics
        Metrics of the dispatcher role.
    """

    def __init__(self, parts: DispatcherParts, start_valid_ms: float) -> None:
        self.clock = parts.clock
        self.random = parts.random
        self.send = parts.send
        self.is_unlisted = parts.is_unlisted
        self.is_unlisted_since = parts.is_unlisted_since
        self.max_open_tasks = parts.max_open_tasks
        self.start_valid_ms = start_valid_ms
        self.registry = RunnerRegistry(parts.clock, parts.random)
        self.estimates = RunEstimates()
        self.crashes = CrashHistory(parts.clock)
        self.jobs: dict[str, Job] = {}
        self.runs: dict[tuple[str, int], tuple[Job, Task]] = {}
        self.unplaced: OrderedDict[str, int] = OrderedDict()
        self.lost_agents: dict[str, LostAgent] = {}
        self.write_offs = WriteOffs(parts.clock)
        self.maybe_final: set[tuple[str, int]] = set()
        self.answers = AnswerCache()
        self.metrics = make_metrics("dispatcher")
