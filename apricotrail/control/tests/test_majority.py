"""Reports of a group without a majority."""

import json
import unittest

from structlog.testing import capture_logs

from apricotrail.control._group_watch import MISSING_AFTER_ELECTIONS, GroupWatch
from apricotrail.control._majority import (
    MAX_LISTED,
    MajorityWatch,
    Phase,
    describe_silences,
)
from apricotrail.control._repair_limits import OVERSEE_INTERVAL_MS, REMOVE_AFTER_MS
from apricotrail.control.tests.simulation import REPAIR_SCALE, TIMING, Cluster
from apricotrail.control.tests.test_process import ControlCase, find_ports, wait_until
from apricotrail.membership import NEVER_CONFIRMED_AGE_MS, replica_name

LIMIT_MS = MISSING_AFTER_ELECTIONS * TIMING.election_ms
REPEAT_MS = 5_000.0
LONG_MS = 2 * REMOVE_AFTER_MS * REPAIR_SCALE


def observe_ages(ages_ms, step_ms: float = 250.0) -> list[Phase | None]:
    watch = MajorityWatch(limit_ms=600.0, repeat_ms=1_000.0, max_gap_ms=500.0)
    return [watch.observe(age_ms, step * step_ms) for step, age_ms in enumerate(ages_ms)]


# Guards against an incident of which no log line tells that, and how long, nothing was confirmed.
def test_a_missing_majority_is_reported_at_its_begin_now_and_then_and_at_its_end():
    ages_ms = [100, *range(350, 2_600, 250), 50, 50]
    assert observe_ages(ages_ms) == [
        *[None] * 3,
        Phase.BEGUN,
        *[None] * 3,
        Phase.LASTS,
        *[None] * 2,
        Phase.ENDED,
        None,
    ]


# Guards against a false alarm of a replica that was only just started, and of one that was paused.
def test_a_start_and_a_stall_of_the_own_process_are_not_reported():
    assert observe_ages([NEVER_CONFIRMED_AGE_MS, NEVER_CONFIRMED_AGE_MS, 100]) == [None] * 3
    watch = MajorityWatch(limit_ms=600.0, repeat_ms=1_000.0, max_gap_ms=500.0)
    assert watch.observe(100.0, 0.0) is None
    assert watch.observe(9_000.0, 9_000.0) is None
    assert watch.observe(100.0, 9_250.0) is None


# Guards against a replica that is never confirmed after its start and says nothing for good.
def test_a_replica_that_is_never_confirmed_reports_it():
    assert Phase.BEGUN in observe_ages([NEVER_CONFIRMED_AGE_MS] * 5)


def test_a_line_lists_a_bounded_number_of_voters():
    many = [f"{number:03}#1" for number in range(200)]
    assert len(describe_silences(many, {})) == MAX_LISTED


class WatchedCluster(Cluster):
    """A simulated open group in which each process watches its group as `ControlService` does."""

    def __init__(self, seed: int, size: int) -> None:
        self.watches: dict = {}
        self.looked_ms: dict = {}
        self.silences_ms: dict[str, dict[str, float]] = {}
        self.missing_ms: dict[str, int] = {}
        super().__init__(seed, size, is_open=True)

    def propose_member_change(self, node) -> None:
        super().propose_member_change(node)
        name = replica_name(node.replica_id)
        watch = self.watches.get(node)
        if watch is None:
            watch = self.watches[node] = GroupWatch(node, self._make_counter(name))
        now_ms = self.replicas[name].clock()
        if now_ms - self.looked_ms.get(node, -1e9) < OVERSEE_INTERVAL_MS:
            return
        self.looked_ms[node] = now_ms
        watch.look(self.silences_ms[name], now_ms)

    def _record_contacts(self, node, linked):
        silences_ms = super()._record_contacts(node, linked)
        self.silences_ms[replica_name(node.replica_id)] = silences_ms
        return silences_ms

    def _make_counter(self, name: str):
        def count(step_ms: int) -> None:
            self.missing_ms[name] = self.missing_ms.get(name, 0) + step_ms

        return count


class TestWatchedGroup(unittest.TestCase):
    def setUp(self):
        self.lines = self.enterContext(capture_logs())
        self.cluster = WatchedCluster(seed=1, size=3)
        self.cluster.run_until(self.cluster.is_settled)

    def named(self, *events: str) -> list[dict]:
        return [line for line in self.lines if line["event"] in events]

    # Guards against false alarms: at a first start, and when a leader or another voter is lost.
    def test_a_group_that_keeps_its_majority_reports_none_missing(self):
        cluster = self.cluster
        cluster.remove(cluster.leader().name)
        cluster.run_for(LONG_MS)
        self.assertEqual(self.named("majority_missing"), [])
        self.assertEqual(sum(cluster.missing_ms.values()), 0)

    # Guards against a group without a majority whose logs don't tell who voted and who was silent.
    def test_the_last_replica_names_the_voters_and_their_silences(self):
        cluster = self.cluster
        ids = {name: it.node.replica_id for name, it in cluster.replicas.items()}
        leader = cluster.leader().name
        left = next(name for name in ids if name != leader)
        for name in sorted(set(ids) - {left}):
            cluster.remove(name)
        lost_ms = cluster.now_ms
        cluster.run_for(LONG_MS)
        lines = self.named("majority_missing")
        self.assertEqual([it["phase"] for it in lines][:2], ["begun", "lasts"])
        allowed = 2 + (LONG_MS - LIMIT_MS) / REPEAT_MS
        self.assertLessEqual(len(lines), allowed)
        first, last = lines[0], lines[-1]
        self.assertEqual((first["log_level"], first["number"]), ("error", 3011))
        node = cluster.replicas[left].node
        for line in (first, last):
            self.assertEqual(set(line["silences_ms"]), set(ids.values()))
            self.assertEqual((line["voters"], line["learners"]), (3, []))
            self.assertEqual(line["term"], node.replica.term)
            self.assertEqual(line["last_index"], node.replica.log.last_index)
            self.assertEqual(line["version"], node.machine.version)
        spans_ms = [last["silences_ms"][key] for name, key in ids.items() if name != left]
        self.assertGreater(min(spans_ms), cluster.now_ms - lost_ms - REPEAT_MS - LIMIT_MS)
        self.assertEqual(last["silences_ms"][ids[left]], 0)
        self.assertEqual((last["heard"], last["leader"]), (1, ""))
        self.assertGreater(cluster.missing_ms[left], last["missing_ms"] - 1)
        json.dumps(lines)

    # Guards against an alarm that stays without an end in the logs.
    def test_a_majority_that_is_back_is_reported_once(self):
        cluster = self.cluster
        cluster.isolate("a")
        cluster.run_for(2 * LIMIT_MS)
        cluster.heal()
        cluster.run_until(cluster.is_settled)
        cluster.run_for(LIMIT_MS)
        lines = self.named("majority_missing", "majority_regained")
        self.assertEqual([it["event"] for it in lines], ["majority_missing", "majority_regained"])
        self.assertGreater(lines[1]["lasted_ms"], LIMIT_MS)
        self.assertEqual(cluster.missing_ms["a"], lines[1]["lasted_ms"])


class TestProcesses(ControlCase):
    """The same over loopback links: what `ControlService` passes on."""

    # Guards against a watch that the running process doesn't look at.
    async def test_a_replica_alone_names_the_voters_and_later_that_the_majority_is_back(self):
        ports = find_ports(3)
        peers = [f"{name}=127.0.0.1:{port}" for name, port in zip("abc", ports, strict=True)]
        lines = self.enterContext(capture_logs())
        controls = [
            await self.start_control(name, port, peers)
            for name, port in zip("abc", ports, strict=True)
        ]
        alone = controls[0].service.node
        await wait_until(lambda: alone.replica.leader)
        ids = {control.service.node.replica_id for control in controls}
        for _ in range(2):
            await self.running.pop()()

        def find(event: str) -> list[dict]:
            named = [line for line in lines if line["event"] == event]
            return [line for line in named if line["replica"] == alone.replica_id]

        await wait_until(lambda: find("majority_missing"))
        line = find("majority_missing")[0]
        self.assertEqual(set(line["silences_ms"]), ids)
        self.assertEqual(line["silences_ms"][alone.replica_id], 0)
        await self.start_control("b", ports[1], peers)
        await wait_until(lambda: find("majority_regained"))
        self.assertGreater(controls[0].metrics.without_majority_ms.value, 0)
