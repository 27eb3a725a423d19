"""Ejection of targets that fail tasks which their peers can do, and their return after probes.

A target is ejected when its failures stand out from those of the other targets of its service
(cumulative sum test, E. S. Page, "Continuous inspection schemes", Biometrika 1954), so a class of
tasks that fails everywhere ejects no target. A floor keeps part of each service's targets in use.

An ejected target gets one task at a time as a probe. The wait before a probe doubles with each
ejection and each failed probe, up to ``policy.probe_limit_ms``, and shrinks only after long healthy
times (one doubling less for each `EJECTION_DECAY_MS`), so a flapping target backs off.
"""

from collections import OrderedDict
from math import exp, log
from random import Random

from apricotrail.settings import Settings, declare_setting

__all__ = ["TargetHealth"]

EJECTION_FLOOR = declare_setting(
    "policy.ejection_floor",
    0.5,
    "Share of a service's targets that stays in use whatever fails.",
    minimum=0.0,
    maximum=1.0,
)
PROBE_MS = declare_setting(
    "policy.probe_ms", 5_000, "Wait before the first probe of a target.", unit="ms", minimum=10
)
PROBE_LIMIT_MS = declare_setting(
    "policy.probe_limit_ms", 300_000, "Longest wait before a probe.", unit="ms", minimum=10
)
BROKEN_FAILURE_RATE = 0.8  # failure rate that the test assumes of a broken target
MIN_PEER_FAILURE_RATE = 0.02  # lowest failure rate that the test assumes of the peers
MAX_PEER_FAILURE_RATE = 0.5  # above it the tasks fail everywhere, and no target is at fault
EJECTION_SCORE = log(10_000)  # log-likelihood ratio at which a target counts as broken
FAILURE_RATE_WEIGHT = 0.25  # weight of the newest outcome in a target's failure rate
MAX_PEERS_COMPARED = 32  # a random sample, if a target has more peers
TARGET_SPEED_WEIGHT = 1 / 6  # weight of the newest run in a target's slowness
SERVICE_SPEED_WEIGHT = 1 / 256  # weight of the newest run in a service's average run time
SLOWNESS_HALF_LIFE_MS = 30_000.0
MIN_RUN_MS = 0.1  # shorter run times count as this, since the logarithm of 0 is undefined
MAX_COUNTED_FAILURES = 2  # failures of one job in a row at one target that count
MAX_FAILED_JOBS_KEPT = 256  # jobs of a service for which the target of the first failure is kept
PROBE_SUCCESSES = 3  # successful probes in a row that end an ejection
EJECTION_DECAY_MS = 60_000.0  # healthy time after which one ejection less counts
PROBE_JITTER = 0.25  # longest random extension, as a share of the wait


class _Target:
    """What was learned of one target.

    Attributes
    ----------
    score : float
        Cumulative sum of log-likelihood ratios; the target is ejected at `EJECTION_SCORE`.
    last_failed_job, failures_of_job : str, int
        Job that failed here last, and its failures here in a row.
    ejections : int
        Ejections and failed probes, less one for each `EJECTION_DECAY_MS` of health; sets the wait
        before a probe.
    probe_at_ms : float
        Time from which an ejected target may get a probe.
    probing : bool
        Whether a probe was sent and its outcome is not known yet.
    successes : int
        Successful probes in a row.
    healthy_since_ms : float
        Time from which the next decay of `ejections` counts.
    log_slowness : float
        Average natural logarithm of its run times relative to the service's average, as of
        `slowness_updated_ms`.
    """

    def __init__(self, service: str) -> None:
        self.service = service
        self.failure_rate = 0.0
        self.score = 0.0
        self.last_failed_job = ""
        self.failures_of_job = 0
        self.ejections = 0
        self.ejected = False
        self.probe_at_ms = 0.0
        self.probing = False
        self.successes = 0
        self.healthy_since_ms = 0.0
        self.log_slowness = 0.0
        self.slowness_updated_ms = 0.0


class _Service:
    """Targets of one service, its average run time, and where recent jobs failed first.

    `mean_log_run` averages the natural logarithms of run times in milliseconds.
    """

    def __init__(self) -> None:
        self.targets: dict[str, _Target] = {}
        self.mean_log_run: float | None = None
        self.first_failed_at: OrderedDict[str, _Target] = OrderedDict()


class TargetHealth:
    """Decides which targets may be used, by the outcomes and run times of their tasks.

    Parameters
    ----------
    random : Random, optional
        Source of the jitter on probes.
    settings : Settings, optional
        Values of ``policy.ejection_floor`` and ``policy.probe_*``.

    Examples
    --------
    >>> health = TargetHealth()
    >>> for _ in range(20):
    ...     for target in ["a", "b", "c"]:
    ...         health.observe(target, "repair", target == "a", 5.0, now_ms=0.0)
    >>> [health.may_use(target, 0.0) for target in ["a", "b", "c"]]
    [False, True, True]
    """

    def __init__(self, random: Random | None = None, settings: Settings | None = None) -> None:
        settings = settings or Settings()
        self._random = random or Random(0)
        self._floor = settings.get(EJECTION_FLOOR)
        self._probe_ms = settings.get(PROBE_MS)
        self._probe_limit_ms = settings.get(PROBE_LIMIT_MS)
        self._targets: dict[str, _Target] = {}
        self._services: dict[str, _Service] = {}

    def observe(
        self,
        target: str,
        service: str,
        failed: bool,
        run_ms: float,
        now_ms: float,
        job: str = "",
    ) -> None:
        """Learn from the outcome of a task that was started at `target`.

        Not to be called for tasks that were stopped, cancelled or not run: they say nothing about
        the target. A target that its agent can't reach counts as failed, though no task was run.
        Failures of one `job` in a row at one target may have a common cause: only two of them
        count, and only one if the job had failed at another target before.
        """
        record = self._find_or_add(target, service, now_ms)
        if failed and job and not record.ejected and not self._is_evidence(record, job):
            return
        record.failure_rate += FAILURE_RATE_WEIGHT * (float(failed) - record.failure_rate)
        if not failed:
            self._observe_speed(record, run_ms, now_ms)
        if record.ejected:
            self._observe_probe(record, failed, now_ms)
            return
        self._update_score(record, failed)
        if record.score >= EJECTION_SCORE and self._above_floor(record):
            self._eject(record, now_ms)
        elif not failed:
            self._decay_ejections(record, now_ms)

    def note_start(self, target: str, now_ms: float) -> None:
        """Note that a task was sent, so that an ejected target gets no second probe meanwhile.

        If its outcome never becomes known, a further probe is due after the usual wait.
        """
        record = self._targets.get(target)
        if record is not None and record.ejected:
            record.probing = True
            record.probe_at_ms = now_ms + self._probe_wait_ms(record)

    def may_use(self, target: str, now_ms: float) -> bool:
        """Return whether `target` may get work: not ejected, or due for a probe."""
        record = self._targets.get(target)
        return record is None or not record.ejected or now_ms >= record.probe_at_ms

    def count_usable_slots(self, target: str, free_slots: int, now_ms: float) -> int:
        """Return how many of the free slots may be used: one for a probe, none between probes."""
        if not self.may_use(target, now_ms):
            return 0
        record = self._targets.get(target)
        return min(free_slots, 1) if record is not None and record.ejected else free_slots

    def slowness(self, target: str, now_ms: float) -> float:
        """Return the run time at `target` as a multiple of its service's average, 1 if unknown.

        The logarithms of recent run times are averaged. The result returns to 1 with time, so that
        a target that was avoided for being slow is tried again.
        """
        record = self._targets.get(target)
        return 1.0 if record is None else exp(_faded_log_slowness(record, now_ms))

    def forget(self, target: str) -> None:
        """Drop what was learned of a target, such as when it has changed its service."""
        record = self._targets.pop(target, None)
        if record is not None:
            del self._services[record.service].targets[target]

    def list_ejected(self) -> list[str]:
        """Return the ejected targets, sorted."""
        return sorted(name for name, record in self._targets.items() if record.ejected)

    def _find_or_add(self, target: str, service: str, now_ms: float) -> _Target:
        record = self._targets.get(target)
        if record is not None and record.service != service:
            self.forget(target)
            record = None
        if record is None:
            record = self._targets[target] = _Target(service)
            record.healthy_since_ms = now_ms
            self._services.setdefault(service, _Service()).targets[target] = record
        return record

    def _is_evidence(self, record: _Target, job: str) -> bool:
        """Count one more failure of `job`; return whether it is evidence against the target."""
        first_failed_at = self._services[record.service].first_failed_at
        first_target = first_failed_at.setdefault(job, record)
        if len(first_failed_at) > MAX_FAILED_JOBS_KEPT:
            first_failed_at.popitem(last=False)
        if record.last_failed_job != job:
            record.last_failed_job = job
            record.failures_of_job = 0
        record.failures_of_job += 1
        if first_target is not record:
            return record.failures_of_job == 1
        return record.failures_of_job <= MAX_COUNTED_FAILURES

    def _observe_speed(self, record: _Target, run_ms: float, now_ms: float) -> None:
        service = self._services[record.service]
        log_run = log(max(run_ms, MIN_RUN_MS))
        if service.mean_log_run is None:
            service.mean_log_run = log_run
        service.mean_log_run += SERVICE_SPEED_WEIGHT * (log_run - service.mean_log_run)
        faded = _faded_log_slowness(record, now_ms)
        record.log_slowness = faded + TARGET_SPEED_WEIGHT * (log_run - service.mean_log_run - faded)
        record.slowness_updated_ms = now_ms

    def _update_score(self, record: _Target, failed: bool) -> None:
        if not failed and record.score <= 0:
            return
        peer_rate = self._peer_failure_rate(record)
        if peer_rate is None or peer_rate > MAX_PEER_FAILURE_RATE:
            record.score = 0.0
            return
        peer_rate = max(peer_rate, MIN_PEER_FAILURE_RATE)
        if failed:
            record.score += log(BROKEN_FAILURE_RATE / peer_rate)
        else:
            record.score = max(0.0, record.score + log((1 - BROKEN_FAILURE_RATE) / (1 - peer_rate)))

    def _peer_failure_rate(self, record: _Target) -> float | None:
        """Return the lower quartile of the failure rates of the other targets in use.

        None if there are no others.
        """
        peers = [
            peer.failure_rate
            for peer in self._services[record.service].targets.values()
            if peer is not record and not peer.ejected
        ]
        if not peers:
            return None
        if len(peers) > MAX_PEERS_COMPARED:
            peers = self._random.sample(peers, MAX_PEERS_COMPARED)
        return sorted(peers)[len(peers) // 4]

    def _above_floor(self, record: _Target) -> bool:
        """Return whether the floor still holds after one more ejection in the target's service."""
        peers = self._services[record.service].targets.values()
        used = sum(not peer.ejected for peer in peers)
        return used - 1 >= self._floor * len(peers)

    def _eject(self, record: _Target, now_ms: float) -> None:
        record.ejected = True
        record.probing = False
        record.successes = 0
        record.score = 0.0
        record.ejections += 1
        record.probe_at_ms = now_ms + self._probe_wait_ms(record)

    def _observe_probe(self, record: _Target, failed: bool, now_ms: float) -> None:
        """Learn from the outcome of a probe; without an open probe the task is an earlier one."""
        if not record.probing:
            return
        record.probing = False
        if failed:
            record.ejections += 1
            record.successes = 0
            record.probe_at_ms = now_ms + self._probe_wait_ms(record)
            return
        record.successes += 1
        record.probe_at_ms = now_ms
        if record.successes >= PROBE_SUCCESSES:
            record.ejected = False
            record.failure_rate = 0.0
            record.healthy_since_ms = now_ms

    def _decay_ejections(self, record: _Target, now_ms: float) -> None:
        if record.ejections and now_ms - record.healthy_since_ms >= EJECTION_DECAY_MS:
            record.ejections -= 1
            record.healthy_since_ms = now_ms

    def _probe_wait_ms(self, record: _Target) -> float:
        wait_ms = min(self._probe_limit_ms, self._probe_ms * 2.0 ** min(record.ejections - 1, 30))
        return wait_ms * (1 + self._random.uniform(0.0, PROBE_JITTER))


def _faded_log_slowness(record: _Target, now_ms: float) -> float:
    elapsed_ms = max(0.0, now_ms - record.slowness_updated_ms)
    return record.log_slowness * 0.5 ** (elapsed_ms / SLOWNESS_HALF_LIFE_MS)
