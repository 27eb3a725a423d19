"""The instruments of each role."""

from collections.abc import Callable, Sequence
from typing import Literal, overload

from apricotrail.metrics._instruments import Counter, Gauge, Histogram, LabelledCounter
from apricotrail.metrics._rendering import Instrument, make_renderer

__all__ = [
    "AgentMetrics",
    "ControlMetrics",
    "DispatcherMetrics",
    "EntryMetrics",
    "RoleMetrics",
    "RunnerMetrics",
    "make_metrics",
]

RESPONSE_BOUNDS_MS = (1, 2, 5, 10, 20, 50, 100, 200, 500, 1_000, 2_000, 5_000, 10_000, 30_000)
RATIO_BOUNDS = (1.01, 1.02, 1.05, 1.1, 1.2, 1.5, 2, 3, 5, 10, 30)
SHORT_BOUNDS_MS = (0.1, 0.2, 0.5, 1, 2, 5, 10, 20, 50, 100, 500)


class RoleMetrics:
    """Instruments that every role has.

    Parameters
    ----------
    role : str
        Label of every series.
    """

    def __init__(self, role: str) -> None:
        self.role = role
        self._instruments: list[Instrument] = []
        self._render: Callable[[], bytes] | None = None
        self.wasted_messages = self._label(
            "wasted_messages", "Messages that led to no start or answer, by kind.", "kind"
        )
        self.refusals = self._label("refusals", "Requests refused, by kind of error.", "kind")
        self.limits_met = self._label(
            "limits_met", "Times that a limit of a listener or of links was met.", "limit"
        )
        self.links_lost = self._count("links_lost", "Links to peers that were lost.")
        self.links = self._watch("links", "Open links to peers.")
        self.config_version = self._watch("config_version", "Configuration version in use.")
        self.config_age_ms = self._watch(
            "config_age_ms", "Time since the configuration was known to be the newest."
        )
        self.lease_age_ms = self._watch("lease_age_ms", "Time since the role's lease was renewed.")
        self.loop_lag_ms = self._measure(
            "loop_lag_ms", "Delay of a timer of the event loop.", SHORT_BOUNDS_MS
        )

    def render(self) -> bytes:
        """Return the present numbers in the text format of Prometheus."""
        if self._render is None:
            self._render = make_renderer(self._instruments, self.role)
        return self._render()

    def instruments(self) -> Sequence[Instrument]:
        """Return all instruments, in the order rendered."""
        return tuple(self._instruments)

    def _count(self, name: str, meaning: str) -> Counter:
        return self._keep(Counter(name, meaning))

    def _label(self, name: str, meaning: str, label: str) -> LabelledCounter:
        return self._keep(LabelledCounter(name, meaning, label))

    def _watch(self, name: str, meaning: str) -> Gauge:
        return self._keep(Gauge(name, meaning))

    def _measure(self, name: str, meaning: str, bounds: Sequence[float]) -> Histogram:
        return self._keep(Histogram(name, meaning, bounds))

    def _keep(self, instrument):  # type: ignore[no-untyped-def]
        self._instruments.append(instrument)
        return instrument


class EntryMetrics(RoleMetrics):
    """Instruments of an entry."""

    def __init__(self) -> None:
        super().__init__("entry")
        self.messages = self._label("messages", "Messages about tasks and claims, by kind.", "kind")
        self.jobs = self._label("jobs", "Jobs answered, by state.", "state")
        self.jobs_attached = self._count("jobs_attached", "Resubmissions joined to their job.")
        self.tasks_started = self._count("tasks_started", "Start messages' tasks sent to agents.")
        self.tasks = self._label("tasks", "Tasks finished, by state: the work done.", "state")
        self.response_ms = self._measure(
            "response_ms", "Time from submission to answer.", RESPONSE_BOUNDS_MS
        )
        self.response_over_ideal = self._measure(
            "response_over_ideal", "Response time over the longest task's run time.", RATIO_BOUNDS
        )
        self.dropped_replies = self._label(
            "dropped_replies", "Replies matched to no open attempt, by reason.", "reason"
        )
        self.claims_lost = self._count("claims_lost", "Jobs taken over by another entry.")
        self.views_installed = self._count("views_installed", "Entry views seen.")
        self.queued_tasks = self._watch("queued_tasks", "Tasks waiting for a slot.")
        self.running_tasks = self._watch("running_tasks", "Tasks started and not yet finished.")
        self.slots = self._watch("slots", "Slots of all usable targets.")
        self.free_slots = self._watch("free_slots", "Free slots last reported.")
        self.targets_ejected = self._watch("targets_ejected", "Targets without work for failing.")
        self.claims = self._watch("claims", "Claim records held.")
        self.view_epoch = self._watch("view_epoch", "Epoch of the entry view.")


class AgentMetrics(RoleMetrics):
    """Instruments of an agent."""

    def __init__(self) -> None:
        super().__init__("agent")
        self.tasks_started = self._count("tasks_started", "Tasks started at the target.")
        self.tasks = self._label("tasks", "Tasks finished, by state.", "state")
        self.refused_starts = self._label("refused_starts", "Starts not run, by reason.", "reason")
        self.run_ms = self._measure("run_ms", "Run time of a task.", RESPONSE_BOUNDS_MS)
        self.slots = self._watch("slots", "Slots of the target.")
        self.free_slots = self._watch("free_slots", "Free slots.")
        self.running_tasks = self._watch("running_tasks", "Tasks running at the target.")
        self.ledger_records = self._watch("ledger_records", "Attempts in the start ledger.")


class DispatcherMetrics(RoleMetrics):
    """Instruments of a dispatcher of queues."""

    def __init__(self) -> None:
        super().__init__("dispatcher")
        self.jobs = self._label("jobs", "Jobs answered, by state.", "state")
        self.runs = self._label("runs", "Runs ended, by state.", "state")
        self.retries = self._label("retries", "Runs that did not end done, by reason.", "reason")
        self.response_ms = self._measure(
            "response_ms", "Time from submission to answer.", RESPONSE_BOUNDS_MS
        )
        self.placing_ms = self._measure(
            "placing_ms", "Time that runs waited at their agents.", RESPONSE_BOUNDS_MS
        )
        self.isolated_runs = self._count(
            "isolated_runs", "Runs started alone, since their task may crash its runners."
        )
        self.deadly_tasks = self._count(
            "deadly_tasks", "Tasks given up, since they crash the runners that start them."
        )
        self.open_jobs = self._watch("open_jobs", "Jobs under way.")
        self.runners = self._watch("runners", "Runners that take work.")
        self.free_cpu_millis = self._watch("free_cpu_millis", "Free room of these runners.")


class RunnerMetrics(RoleMetrics):
    """Instruments of the agent beside a leased runner."""

    def __init__(self) -> None:
        super().__init__("runner")
        self.runs = self._label("runs", "Runs ended, by state.", "state")
        self.refused_runs = self._label("refused_runs", "Runs not started, by reason.", "reason")
        self.run_ms = self._measure("run_ms", "Run time of a run.", RESPONSE_BOUNDS_MS)
        self.waited_ms = self._measure("waited_ms", "Time in the queue.", RESPONSE_BOUNDS_MS)
        self.open_runs = self._watch("open_runs", "Runs queued or at the runner.")
        self.free_cpu_millis = self._watch("free_cpu_millis", "Free room of the runner.")
        self.lease_left_ms = self._watch("lease_left_ms", "Time until the leases end.")
        self.unconfirmed_ends = self._watch(
            "unconfirmed_ends", "Ends of done runs that wait for their owners to confirm them."
        )
        self.doubted_owners = self._watch(
            "doubted_owners", "Silent owners of ends that may have started the tasks again."
        )
        self.released_ends = self._label(
            "released_ends", "Ends acknowledged without their owner's confirmation.", "how"
        )
        self.lapsed_for_ends = self._label(
            "lapsed_for_ends", "Times that leases were left to lapse for ends in doubt.", "reason"
        )


class ControlMetrics(RoleMetrics):
    """Instruments of a control replica."""

    def __init__(self) -> None:
        super().__init__("control")
        self.elections = self._label("elections", "Elections, by result.", "result")
        self.commits = self._count("commits", "Log entries committed.")
        self.snapshots = self._count("snapshots", "Snapshots written.")
        self.commit_ms = self._measure(
            "commit_ms", "Time from proposal to commit.", RESPONSE_BOUNDS_MS
        )
        self.sync_ms = self._measure("sync_ms", "Time of one disk sync.", SHORT_BOUNDS_MS)
        self.is_leader = self._watch("is_leader", "1 for the leader, otherwise 0.")
        self.term = self._watch("term", "Present term.")
        self.log_entries = self._watch("log_entries", "Log entries since the last snapshot.")
        self.replicas_behind = self._watch("replicas_behind", "Replicas that lack committed data.")
        self.voters = self._watch("voters", "Voters of the group, as this replica knows it.")
        self.voters_silent = self._watch(
            "voters_silent", "Voters not heard here for so long that others may replace them."
        )
        self.without_majority_ms = self._count(
            "without_majority_ms",
            "Time without a majority, as majority_missing (3011) reports it.",
        )


@overload
def make_metrics(role: Literal["entry"]) -> EntryMetrics: ...
@overload
def make_metrics(role: Literal["agent"]) -> AgentMetrics: ...
@overload
def make_metrics(role: Literal["control"]) -> ControlMetrics: ...
@overload
def make_metrics(role: Literal["dispatcher"]) -> DispatcherMetrics: ...
@overload
def make_metrics(role: Literal["runner"]) -> RunnerMetrics: ...


def make_metrics(role: str) -> RoleMetrics:
    """Return the instruments of a role.

    Parameters
    ----------
    role : str
        ``entry``, ``agent``, ``control``, ``dispatcher`` or ``runner``.

    Raises
    ------
    KeyError
        If there is no such role.

    Examples
    --------
    >>> metrics = make_metrics("agent")
    >>> metrics.tasks_started.add(3)
    >>> b'apricotrail_tasks_started_total{role="agent"} 3' in metrics.render()
    True
    """
    makers = {
        "agent": AgentMetrics,
        "control": ControlMetrics,
        "dispatcher": DispatcherMetrics,
        "entry": EntryMetrics,
        "runner": RunnerMetrics,
    }
    return makers[role]()
