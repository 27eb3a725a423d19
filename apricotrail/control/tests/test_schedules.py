"""Seeded random schedules of a simulated cluster under faults; every step checks invariants."""

from functools import partial

from nose2.tools import params

from apricotrail.control.tests.simulation import SYNC_MS, TIMING, Cluster
from apricotrail.wire.generated.ttypes import Command, PutDocument

REQUESTS = 8
SUBMIT_MS = 250
ACK_MS = 4_000
FULL_DISK_SEEDS = 6
REPAIR_SEEDS = 12
MAX_ABSENCE_MS = 500.0
LOST_AT_MOST = {3: 1, 4: 1, 5: 2}


def lose_messages(cluster: Cluster) -> None:
    cluster.loss_share, cluster.duplicate_share, cluster.latency_ms = 0.15, 0.1, (0.5, 80.0)


def delay_messages(cluster: Cluster) -> None:
    cluster.latency_ms = (1.0, 400.0)


def isolate_leader(cluster: Cluster) -> None:
    leader = cluster.leader()
    cluster.isolate(leader.name if leader else "a")
    cluster.at(700, cluster.heal)


def isolate_follower(cluster: Cluster) -> None:
    leader = cluster.leader()
    followers = [name for name in cluster.replicas if leader is None or name != leader.name]
    cluster.isolate(cluster.random.choice(followers))
    cluster.at(700, cluster.heal)


def block_one_direction(cluster: Cluster) -> None:
    inward = cluster.random.random() < 0.5
    cluster.isolate(cluster.random.choice(list(cluster.replicas)), inward, not inward)
    cluster.at(600, cluster.heal)


def restart_all(cluster: Cluster) -> None:
    for replica in cluster.replicas.values():
        replica.crash()
    cluster.at(cluster.random.uniform(1, 300), cluster.heal)


def crash_in_writes(cluster: Cluster) -> None:
    for replica in cluster.replicas.values():
        replica.disk.crash_at = replica.disk.steps + cluster.random.randint(1, 40)
    cluster.at(500, cluster.heal)


def lose_disk(cluster: Cluster) -> None:
    cluster.random.choice(list(cluster.replicas.values())).wipe()
    cluster.at(100, cluster.heal)


def lose_two_disks_around_a_repair(cluster: Cluster) -> None:
    first, second = cluster.random.sample(list(cluster.replicas), 2)
    cluster.replicas[first].wipe()
    cluster.at(50, cluster.replicas[first].start)
    cluster.run_until(lambda: _is_repaired(cluster, first))
    cluster.replicas[second].wipe()
    cluster.at(50, cluster.heal)


def slow_disks(cluster: Cluster) -> None:
    for replica in cluster.replicas.values():
        replica.sync_ms = cluster.random.choice([0.0, 5.0, 50.0, 300.0])
    cluster.at(900, cluster.heal)


def apply_slowly(cluster: Cluster) -> None:
    cluster.apply_ms = cluster.random.choice([50.0, 300.0, 900.0])
    cluster.at(900, cluster.heal)


def jump_wall_clock(cluster: Cluster) -> None:
    cluster.wall_offset_ms += cluster.random.choice([-900_000, 600_000])


def transfer_leadership(cluster: Cluster) -> None:
    leader = cluster.leader()
    if leader is not None:
        leader.run(lambda: (leader.node.begin_transfer(), leader.node.flush()))


def _is_repaired(cluster: Cluster, name: str) -> bool:
    node, leader = cluster.replicas[name].node, cluster.leader()
    if node is None or leader is None:
        return False
    return node.replica_id in leader.node.replica.log.members and node.replica.is_voter


FAULTS = (
    lose_messages,
    delay_messages,
    isolate_leader,
    isolate_follower,
    block_one_direction,
    restart_all,
    crash_in_writes,
    lose_disk,
    lose_two_disks_around_a_repair,
    slow_disks,
    apply_slowly,
    jump_wall_clock,
    transfer_leadership,
)
SCHEDULES_EACH = 40


@params(*FAULTS)
def test_no_fault_loses_or_repeats_an_accepted_change(fault):
    for seed in range(SCHEDULES_EACH):
        run_schedule(seed, 3 if seed % 4 else 5, [fault])


def test_a_slow_apply_on_all_replicas_changes_no_leader():
    for seed in range(20):
        cluster = Cluster(seed, 3)
        cluster.run_until(cluster.is_settled)
        leader = cluster.leader()
        cluster.apply_ms = 5 * TIMING.election_ms
        on_answer = lambda result: result.unwrap()  # noqa: E731
        put = PutDocument(b"large", b"", True)
        leader.propose(Command("one", "ana", 1, put_document=put), on_answer)
        cluster.run_for(30)
        cluster.apply_ms = 0.0
        cluster.run_for(10 * TIMING.election_ms)
        assert (cluster.leader(), len(cluster.leaders)) == (leader, 1), seed
        assert cluster.is_settled()


def test_faults_in_combination():
    for seed in range(100):
        cluster = Cluster(seed, 5 if seed % 4 == 0 else 3)
        faults = [fault for fault in FAULTS if fault is not lose_two_disks_around_a_repair]
        run_schedule(seed, len(cluster.replicas), cluster.random.sample(faults, 3))


def replace_for_good(cluster: Cluster) -> None:
    """A machine is lost permanently; up to 1 s later another one starts at another address."""
    name = _pick_with_disk(cluster)
    cluster.remove(name)
    cluster.at(cluster.random.uniform(0, 1_000), lambda: cluster.add(name.upper()))


def replace_as_planned(cluster: Cluster) -> None:
    """The successor starts before its predecessor ends."""
    name = _pick_with_disk(cluster)
    cluster.add(name.upper())
    cluster.run_for(cluster.random.uniform(50, 800))
    cluster.remove(name)


def split_in_halves(cluster: Cluster) -> None:
    names = list(cluster.replicas)
    cluster.random.shuffle(names)
    for name in names[: len(names) // 2]:
        for other in names[len(names) // 2 :]:
            cluster.blocked |= {(name, other), (other, name)}
    cluster.at(cluster.random.uniform(300, 1_200), cluster.heal)


def freeze_one(cluster: Cluster) -> None:
    """One machine is suspended and resumes."""
    cluster.random.choice(list(cluster.replicas.values())).freeze(
        cluster.random.uniform(100, 1_500)
    )


def restart_without_a_disk(cluster: Cluster) -> None:
    for replica in cluster.replicas.values():
        if not replica.has_durable_log:
            replica.crash()
    cluster.at(100, cluster.heal)


def leave_one_behind_and_lose_a_disk(cluster: Cluster) -> None:
    """One replica misses changes while another loses its disk; only the rest hold the changes."""
    behind, wiped = cluster.random.sample([it for it in cluster.replicas if it in "abcde"], 2)
    cluster.isolate(behind)
    cluster.run_for(400)
    cluster.replicas[wiped].wipe()
    cluster.at(50, cluster.replicas[wiped].start)
    cluster.at(700, cluster.heal)


def _pick_with_disk(cluster: Cluster) -> str:
    return cluster.random.choice([name for name in cluster.replicas if name in "abcde"])


# Faults, number of founding replicas, and number of replicas without a disk added to them.
OPEN_SCHEDULES = (
    ((replace_for_good,), 4, 0),
    ((replace_as_planned,), 4, 1),
    ((replace_for_good, lose_disk), 5, 0),
    ((replace_as_planned, isolate_leader), 4, 0),
    ((split_in_halves,), 4, 1),
    ((split_in_halves, restart_all), 4, 0),
    ((freeze_one, freeze_one), 4, 1),
    ((freeze_one, replace_for_good), 4, 0),
    ((restart_without_a_disk, restart_without_a_disk), 3, 2),
    ((restart_without_a_disk, lose_disk), 4, 2),
    ((leave_one_behind_and_lose_a_disk,), 5, 1),
    ((jump_wall_clock, slow_disks, restart_all), 4, 1),
)


@params(*OPEN_SCHEDULES)
def test_open_groups_replace_lost_replicas_and_lose_no_accepted_change(faults, size, diskless):
    for seed in range(SCHEDULES_EACH // 2):
        losses = LOST_AT_MOST[size]
        cluster = Cluster(seed, size, is_open=True, diskless=diskless, losses=losses)
        run_schedule(seed, size, faults, cluster)


def check_disks_full_in_turn(seed: int, size: int) -> None:
    """Submit changes while each disk is full for 2 to 5 s, then expect answers within `ACK_MS`."""
    cluster = Cluster(seed, size)
    cluster.run_until(lambda: cluster.leader() is not None)
    names = cluster.random.sample(list(cluster.replicas), size)
    start_ms = 0.0
    for name in names:
        end_ms = start_ms + cluster.random.uniform(2_000, 5_000)
        cluster.at(start_ms, partial(set_full, cluster, name, True))
        cluster.at(end_ms, partial(set_full, cluster, name, False))
        start_ms = end_ms + cluster.random.choice([0.0, 1_000.0])
    submitted = int(end_ms / SUBMIT_MS)
    for number in range(submitted):
        cluster.at(number * SUBMIT_MS, partial(cluster.submit, number))
    cluster.run_for(end_ms + 1)
    for number in range(submitted, submitted + REQUESTS):
        cluster.submit(number)
    cluster.run_until(lambda: len(cluster.answers) == submitted + REQUESTS, ACK_MS)
    if seed % 2:
        restart_all(cluster)
        cluster.run_for(500)
    cluster.finish(submitted + REQUESTS)


def set_full(cluster: Cluster, name: str, full: bool) -> None:
    disk = cluster.replicas[name].disk
    disk.full, disk.late = full, cluster.random.random() < 0.3


# Guards against replicas that stop for good, one after another, though the disk of each was full
# only for a moment.
@params(3, 5)
def test_changes_are_answered_after_each_disk_was_full_in_turn(size):
    for seed in range(FULL_DISK_SEEDS):
        try:
            check_disks_full_in_turn(seed, size)
        except AssertionError as error:
            raise AssertionError(f"seed {seed}, {size} replicas: {error}") from error


def replace_some(cluster: Cluster, losses: int) -> None:
    """Machines are lost for good; their successors start at other addresses soon after."""
    for name in cluster.random.sample(list(cluster.replicas), losses):
        _replace(cluster, name)


def replace_leader(cluster: Cluster, losses: int) -> None:
    _replace(cluster, cluster.leader().name)


def replace_some_by_newcomers_that_are_lost(cluster: Cluster, losses: int) -> None:
    """The successor is lost for good, too, before or just after it was promoted."""
    name = cluster.random.choice(list(cluster.replicas))
    cluster.remove(name)
    cluster.add(f"{name}+")
    cluster.run_for(cluster.random.uniform(0, SYNC_MS))
    _replace(cluster, f"{name}+")


def lose_some_disks(cluster: Cluster, losses: int) -> None:
    for name in cluster.random.sample(list(cluster.replicas), losses):
        cluster.replicas[name].wipe()
        cluster.at(cluster.random.uniform(0, MAX_ABSENCE_MS), cluster.replicas[name].start)


def replace_beside_a_restart(cluster: Cluster, losses: int) -> None:
    """One machine is replaced while all others are killed at once and start again."""
    name = cluster.random.choice(list(cluster.replicas))
    for replica in cluster.replicas.values():
        replica.crash()
    cluster.at(cluster.random.uniform(1, MAX_ABSENCE_MS), cluster.heal)
    _replace(cluster, name)


def replace_as_planned_and_lose_another(cluster: Cluster, losses: int) -> None:
    """A machine stops once its successor is in; from then on another one may be lost."""
    name = cluster.random.choice(list(cluster.replicas))
    cluster.add(f"{name}'")
    cluster.run_for(SYNC_MS)
    cluster.stop(name)
    _replace(cluster, cluster.random.choice(list(cluster.replicas)))


def _replace(cluster: Cluster, name: str) -> None:
    cluster.remove(name)
    cluster.at(cluster.random.uniform(0, MAX_ABSENCE_MS), lambda: cluster.add(f"{name}'"))


REPAIRS = (
    (replace_some, replace_some, replace_some),
    (replace_leader, replace_leader, replace_leader),
    (replace_some, lose_some_disks, replace_some),
    (lose_some_disks, replace_leader, lose_some_disks),
    (replace_some_by_newcomers_that_are_lost, replace_some),
    (replace_beside_a_restart, replace_some),
    (replace_as_planned_and_lose_another, replace_as_planned_and_lose_another),
)


def check_repairs_in_turn(seed: int, size: int, repairs) -> None:
    """Lose what may be lost at once, again as soon as it stops counting as lost."""
    cluster = Cluster(seed, size, is_open=True, losses=LOST_AT_MOST[size])
    cluster.run_until(lambda: cluster.leader() is not None)
    cluster.run_for(SYNC_MS)
    for number, repair in enumerate(repairs):
        cluster.submit(number)
        repair(cluster, LOST_AT_MOST[size])
        cluster.run_for(MAX_ABSENCE_MS + SYNC_MS)
        cluster.run_until(lambda: cluster.leader() is not None, ACK_MS)
    cluster.submit(len(repairs))
    cluster.run_until(lambda: len(cluster.answers) == len(repairs) + 1, ACK_MS)
    cluster.finish(len(repairs) + 1)


# Guards against a member that is gone for good and still counts as a voter when the next is lost.
@params(*((size, repairs) for size in LOST_AT_MOST for repairs in REPAIRS))
def test_changes_are_accepted_after_repairs_in_turn(size, repairs):
    for seed in range(REPAIR_SEEDS):
        try:
            check_repairs_in_turn(seed, size, repairs)
        except AssertionError as error:
            names = [repair.__name__ for repair in repairs]
            raise AssertionError(f"seed {seed}, {size} replicas, {names}: {error}") from error


def run_schedule(seed: int, size: int, faults, cluster: Cluster | None = None) -> None:
    cluster = cluster or Cluster(seed, size)
    try:
        cluster.run_until(lambda: cluster.leader() is not None)
        for number in range(REQUESTS):
            cluster.at(
                number * 120 + cluster.random.uniform(0, 60), lambda n=number: cluster.submit(n)
            )
        for fault in faults:
            cluster.run_for(cluster.random.uniform(50, 400))
            fault(cluster)
        cluster.run_for(1_000)
        cluster.finish(REQUESTS)
    except AssertionError as error:
        names = [fault.__name__ for fault in faults]
        raise AssertionError(f"seed {seed}, {size} replicas, {names}: {error}") from error
