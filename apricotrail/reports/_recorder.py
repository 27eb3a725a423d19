"""What one entry counts for the report on service-level burn."""

from collections.abc import Callable
from typing import Any, NamedTuple

from apricotrail.reports._rings import WINDOWS, Bucket, BucketRing

__all__ = ["MAX_SERVICES", "OTHER_SERVICE", "Objectives", "SloRecorder"]

MAX_SERVICES = 1_024
OTHER_SERVICE = "other"
_STEP_MS = WINDOWS[0].bucket_ms


class Objectives(NamedTuple):
    """Service-level objectives of one service.

    Attributes
    ----------
    success : float
        Share of jobs that must be answered complete, below 1.
    latency_ms : float
        Response time that counts as in time, in milliseconds.
    latency_share : float
        Share of the complete answers that must be in time, below 1.
    """

    success: float
    latency_ms: float
    latency_share: float


class _Service:
    def __init__(self, now_ms: int) -> None:
        self.pending = Bucket(now_ms - now_ms % _STEP_MS)
        self.rings = [BucketRing(window) for window in WINDOWS]

    def turn(self, now_ms: int) -> None:
        start_ms = now_ms - now_ms % _STEP_MS
        if start_ms <= self.pending.start_ms:
            return
        self.flush()
        self.pending = Bucket(start_ms)

    def flush(self) -> None:
        if self.pending.total:
            for ring in self.rings:
                ring.add(self.pending)
        self.pending = Bucket(self.pending.start_ms)


class SloRecorder:
    """Counts of answered jobs by service, over every window.

    Times are of the wall clock, since the counts of all entries are laid on top of each other. A
    clock that steps back adds to the newest bucket.

    Parameters
    ----------
    entry : str
        Name of this entry.
    incarnation : int
        Start of this process, wall clock in milliseconds.
    find_objectives : callable
        Gives the objectives of a service, or None if it has none.

    Examples
    --------
    >>> recorder = SloRecorder("entry-1", 0, lambda service: Objectives(0.99, 500.0, 0.95))
    >>> recorder.observe("quotes", ok=True, response_ms=120.0, now_ms=60_000)
    >>> recorder.export(61_000)["services"]["quotes"]["5 m"]
    [[60000, 1, 0, 0, {}]]
    """

    def __init__(
        self,
        entry: str,
        incarnation: int,
        find_objectives: Callable[[str], Objectives | None],
    ) -> None:
        self._entry = entry
        self._incarnation = incarnation
        self._find_objectives = find_objectives
        self._services: dict[str, _Service] = {}

    def observe(
        self,
        service: str,
        ok: bool,
        response_ms: float,
        zone: str = "",
        target: str = "",
        error_kind: str = "",
        now_ms: int = 0,
    ) -> None:
        """Count one answered job.

        Parameters
        ----------
        service : str
            Service of the job.
        ok : bool
            Whether the answer was complete.
        response_ms : float
            Time from submission to answer in milliseconds.
        zone, target : str
            Where the job failed, or where its last task finished; empty if unknown.
        error_kind : str
            Kind of error of a failed job.
        now_ms : int
            Wall clock in milliseconds.
        """
        counts = self._find_service(service, int(now_ms))
        counts.turn(int(now_ms))
        pending = counts.pending
        pending.total += 1
        slow = ok and self._is_slow(service, response_ms)
        if ok and not slow:
            return
        pending.failed += not ok
        pending.slow += slow
        kind = "slow" if slow else error_kind
        for cause in (f"zone:{zone}", f"target:{target}", f"error:{kind}"):
            if not cause.endswith(":"):
                pending.blame(cause, 1)

    def export(self, now_ms: int) -> dict[str, Any]:
        """Return all counts of this entry as JSON values, for `merge_reports`."""
        services = {}
        for name, service in self._services.items():
            service.turn(int(now_ms))
            service.flush()
            services[name] = {
                ring.window.name: [_dump(bucket) for bucket in ring.buckets()]
                for ring in service.rings
            }
        return {
            "entry": self._entry,
            "incarnation": self._incarnation,
            "wall_ms": int(now_ms),
            "services": services,
        }

    def _find_service(self, name: str, now_ms: int) -> _Service:
        service = self._services.get(name)
        if service is not None:
            return service
        key = name if len(self._services) < MAX_SERVICES else OTHER_SERVICE
        return self._services.setdefault(key, _Service(now_ms))

    def _is_slow(self, service: str, response_ms: float) -> bool:
        objectives = self._find_objectives(service)
        return objectives is not None and response_ms > objectives.latency_ms


def _dump(bucket: Bucket) -> list[Any]:
    return [bucket.start_ms, bucket.total, bucket.failed, bucket.slow, dict(bucket.causes)]
