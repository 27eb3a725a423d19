"""A change is in force in time though its leader is lost as soon as it has acknowledged it."""

from collections.abc import Callable

from nose2.tools import params

from apricotrail.control._application import ELECTION_MS, ROUND_MS
from apricotrail.control._apply_limits import (
    APPLICATION_MS,
    ApplyLimits,
    sum_applied_ms,
    sum_taken_ms,
)
from apricotrail.control._replica import Timing
from apricotrail.control.tests.simulation import SYNC_MS, TIMING, Cluster, Replica
from apricotrail.membership._roster import BEHIND_GRACE_MS
from apricotrail.settings import Settings
from apricotrail.wire import HEARTBEAT_MS, SILENT_MS
from apricotrail.wire.generated.ttypes import Command, PutDocument

IN_FORCE_MS = 7_000.0  # at the size that decides the design
APPLY_MS = 2_000.0  # the shortest bound of the platform, with its election time
PLATFORM_ELECTION_MS = 400.0
ROUND_TRIP_MS = 24.0
SCALE = TIMING.election_ms / PLATFORM_ELECTION_MS
FREEZE_MS = 5_000.0
IN_FLIGHT_MS = 10.0
MAX_ABSENCE_MS = 500.0
ACK_MS = 4_000.0
SEEDS = 6


def kill(cluster: Cluster, leader: Replica) -> None:
    cluster.isolate(leader.name)
    leader.crash()


def cut_off(cluster: Cluster, leader: Replica) -> None:
    cluster.isolate(leader.name)


def freeze(cluster: Cluster, leader: Replica) -> None:
    cluster.isolate(leader.name)
    leader.freeze(FREEZE_MS)
    cluster.at(IN_FLIGHT_MS, cluster.blocked.clear)


def lose_disk(cluster: Cluster, leader: Replica) -> None:
    cluster.isolate(leader.name)
    leader.wipe()
    cluster.at(IN_FLIGHT_MS, cluster.blocked.clear)
    cluster.at(cluster.random.uniform(IN_FLIGHT_MS, MAX_ABSENCE_MS), leader.start)


def keep(cluster: Cluster) -> None:
    cluster.run_for(cluster.random.uniform(0, MAX_ABSENCE_MS))


def replace_follower(cluster: Cluster) -> None:
    """A machine is lost for good; its successor has just become a voter."""
    name = pick_follower(cluster)
    cluster.remove(name)
    cluster.at(cluster.random.uniform(0, MAX_ABSENCE_MS), lambda: cluster.add(f"{name}'"))
    cluster.run_until(lambda: is_voter(cluster, f"{name}'"))


def replace_as_planned(cluster: Cluster) -> None:
    """The successor has joined, and its predecessor has just stopped."""
    name = pick_follower(cluster)
    cluster.add(f"{name}'")
    cluster.run_for(SYNC_MS)
    cluster.stop(name)


def replace_without_departure(cluster: Cluster) -> None:
    """The successor has just become a voter when its predecessor, which is still one, is lost."""
    name = pick_follower(cluster)
    cluster.add(f"{name}'")
    cluster.run_until(lambda: is_voter(cluster, f"{name}'"))
    cluster.remove(name)


LOSSES = (kill, cut_off, freeze, lose_disk)
PREPARATIONS = (
    (3, keep),
    (4, keep),
    (5, keep),
    (3, replace_follower),
    (4, replace_follower),
    (5, replace_follower),
    (3, replace_as_planned),
    (4, replace_as_planned),
    (5, replace_as_planned),
    (4, replace_without_departure),
    (5, replace_without_departure),
)
SYNCS_MS = (0.0, 9.0, 50.0)


def pick_follower(cluster: Cluster) -> str:
    leader = cluster.leader()
    return cluster.random.choice([name for name in cluster.replicas if name != leader.name])


def is_voter(cluster: Cluster, name: str) -> bool:
    replica = cluster.replicas.get(name)
    leader = cluster.leader()
    if replica is None or replica.node is None or leader is None:
        return False
    return replica.node.replica.is_voter and leader.node.replica.is_leader


def lose_acknowledging_leader(cluster: Cluster, lose: Callable) -> tuple[Replica, float, int]:
    """Acknowledge a change; return its lost leader, the virtual time of the loss, the version."""
    lost: list = []
    cluster.run_until(lambda: cluster.leader() is not None)
    leader = cluster.leader()

    def on_answer(result) -> None:
        lost.append((leader, cluster.now_ms, result.unwrap().version))
        cluster.at(0.0, lambda: lose(cluster, leader))

    put = PutDocument(b"text", b"", True)
    leader.propose(Command("one", "ana", 1, put_document=put), on_answer)
    cluster.run_until(lambda: lost, ACK_MS)
    return lost[0]


def measure_applied_ms(seed: int, size: int, sync_ms: float, prepare, lose) -> float:
    """Return the time in platform's milliseconds until all others have applied the change."""
    cluster = Cluster(seed, size, is_open=True)
    cluster.run_until(lambda: cluster.leader() is not None)
    cluster.run_for(SYNC_MS)
    prepare(cluster)
    for replica in cluster.replicas.values():
        replica.sync_ms = sync_ms * SCALE
    leader, lost_ms, version = lose_acknowledging_leader(cluster, lose)
    others = [it for it in cluster.replicas.values() if it is not leader]

    def is_applied() -> bool:
        return all(it.node.machine.version >= version for it in others)

    assert not is_applied()
    while not is_applied():
        assert cluster.now_ms < lost_ms + ACK_MS, "not applied at all"
        cluster.run_for(1)
    return (cluster.now_ms - lost_ms) / SCALE


# Guards against an acknowledged change that the remaining replicas apply too late, or never, since
# its leader was lost before it told them that the change was committed.
@params(*((size, prepare, lose) for size, prepare in PREPARATIONS for lose in LOSSES))
def test_an_acknowledged_change_is_applied_in_time_without_its_leader(size, prepare, lose):
    # A process that follows one of the others takes it after a push.
    limit_ms = APPLY_MS - ROUND_TRIP_MS - APPLICATION_MS
    for sync_ms in SYNCS_MS:
        for seed in range(SEEDS):
            applied_ms = measure_applied_ms(seed, size, sync_ms, prepare, lose)
            assert applied_ms <= limit_ms, (
                f"seed {seed}, {size} replicas, {prepare.__name__}, {lose.__name__}, syncs of "
                f"{sync_ms} ms: applied after {applied_ms:.0f} ms"
            )


# Guards against default times that add up to more than the time within which a change is in force.
def test_an_acknowledged_change_is_in_force_in_time_with_default_settings():
    settings = Settings({})
    limits = ApplyLimits(
        Timing(settings.get(ROUND_MS), settings.get(ELECTION_MS)),
        max(SYNCS_MS),
        ROUND_TRIP_MS,
        settings.get(HEARTBEAT_MS),
        settings.get(SILENT_MS),
        BEHIND_GRACE_MS,
    )
    for lost in (1, 2):
        assert sum_taken_ms(limits, failed_elections=2, lost=lost) <= IN_FORCE_MS


def test_the_steps_of_an_election_and_a_commit_add_up():
    limits = ApplyLimits(Timing(100.0, 400.0), 9.0, 20.0, 500.0, 1_200.0, 250.0)
    applied_ms = 10 + 800 + 20 + (20 + 27) + (40 + 27) + 10 + APPLICATION_MS
    assert sum_applied_ms(limits, failed_elections=0) == applied_ms
    assert sum_applied_ms(limits, failed_elections=1) == applied_ms + 20 + 800
    # The link of the lost replica is found silent after the election, or before it has ended.
    assert sum_taken_ms(limits, failed_elections=0) == 1_700 + 20 + APPLICATION_MS
    assert sum_taken_ms(limits, failed_elections=1) == applied_ms + 820 + 20 + APPLICATION_MS
