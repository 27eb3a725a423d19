"""What the service of a replica passes on to the watch of its group, and its metrics."""

import re
from pathlib import Path

from nose2.tools import params
from structlog.testing import capture_logs

from apricotrail.control._group_watch import GroupWatch
from apricotrail.control._meters import watch_service
from apricotrail.control._quorums import GroupPlan
from apricotrail.control._service import ControlService, ServiceParts
from apricotrail.control.tests.simulation import Cluster
from apricotrail.control.tests.test_nodes import FakeEndpoint, FakeLink
from apricotrail.control.tests.test_process import ControlCase, find_ports, wait_until
from apricotrail.metrics import make_metrics

NEWCOMER = "d#1"
PAGE = Path(__file__).parents[3] / "docs" / "OPERATIONS.md"


def make_lonely_service(plan: GroupPlan | None, peers: dict[str, str]) -> ControlService:
    """Return the service of a replica that hasn't heard the two other voters for 9 s."""
    cluster = Cluster(seed=1, size=3)
    cluster.run_until(cluster.is_settled)
    node = cluster.replicas["a"].node
    metrics = make_metrics("control")
    parts = ServiceParts(FakeEndpoint(), node, peers, 1_500.0, 3_000.0, metrics, plan)
    service = ControlService(parts)
    lost = [key for key in node.replica.log.members if key != node.replica_id]
    service._silences_ms = {node.replica_id: 0.0, **dict.fromkeys(lost, 9_000.0)}
    return service


@params(
    # plan of an open group, settings list the newcomer, it leaves, spares
    (GroupPlan(), False, False, 1),
    (GroupPlan(), False, True, 0),
    (None, False, False, 0),
    (None, True, False, 1),
)
def test_a_newcomer_is_a_spare_if_it_may_join(plan, is_listed, leaves, spares):
    service = make_lonely_service(plan, {"d": "d"} if is_listed else {})
    links = service.endpoint.links
    links[NEWCOMER] = FakeLink(NEWCOMER, "control")
    links["entry-1"] = FakeLink("entry-1", "entry")
    if leaves:
        service.note_departure(links[NEWCOMER])
    with capture_logs() as lines:
        service._watch_group()
    (line,) = [it for it in lines if it["event"] == "voter_unreplaced"]
    assert (line["spares"], line["bears"]) == (spares, -1)


# Guards against alarms on metrics that nothing fills.
def test_metrics_count_voters_and_silent_ones():
    service = make_lonely_service(GroupPlan(), {})
    watch_service(service.parts.metrics, service)
    text = service.parts.metrics.render().decode()
    assert 'apricotrail_voters{role="control"} 3.0' in text
    assert 'apricotrail_voters_silent{role="control"} 2.0' in text
    service._silences_ms = {}
    text = service.parts.metrics.render().decode()
    assert 'apricotrail_voters_silent{role="control"} 0.0' in text


def test_disks_that_are_lost_are_logged_once():
    cluster = Cluster(1, 3, is_open=True, per_zone=2)
    cluster.run_until(lambda: cluster.leader() is not None)
    replica = cluster.leader().node.replica
    watch = GroupWatch(cluster.leader().node, lambda ms: None)
    lost = next(key for key in replica.log.members if key != replica.own_id)
    replica.note_contacts([f"{lost}-new"], [])
    with capture_logs() as lines:
        for _ in range(2):
            watch.note_lost_disks()
    assert [(it["event"], it["lost"], it["guarded"]) for it in lines] == [
        ("disks_lost", [lost], True)
    ]


class TestProcesses(ControlCase):
    """Processes over loopback links."""

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
        await controls[0].operations.put_queues(1, {}, b"{}")
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
        founded = next(it for it in lines if it["event"] == "members_in_effect")
        self.assertEqual(set(founded["voters"]), ids)
        self.check_fields_of_page(lines)

    def check_fields_of_page(self, lines: list[dict]) -> None:
        """Check that the walk in docs/OPERATIONS.md names only fields that the lines have."""
        with capture_logs() as more_lines:
            make_lonely_service(GroupPlan(), {})._watch_group()
        logged = {field for line in (*lines, *more_lines) for field in line}
        _, _, walk = PAGE.read_text().partition("\n## No desired state is acknowledged\n")
        named = set(re.findall(r'"(\w+)":', walk.partition("\n## ")[0]))
        self.assertIn("silences_ms", named)
        self.assertLessEqual(named, logged | {"message", "timestamp"})
