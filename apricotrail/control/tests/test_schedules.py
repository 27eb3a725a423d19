"""Seeded schedules of replicas under faults; every step checks the invariants."""

from nose2.tools import params

from apricotrail.control.tests.simulation import TIMING, World
from apricotrail.wire.generated.ttypes import Command, PutDocument

REQUESTS = 8


def lose_messages(world: World) -> None:
    world.loss, world.copies, world.latency_ms = 0.15, 0.1, (0.5, 80.0)


def delay_messages(world: World) -> None:
    world.latency_ms = (1.0, 400.0)


def isolate_leader(world: World) -> None:
    leader = world.leader()
    world.isolate(leader.name if leader else "a")
    world.at(700, world.heal)


def isolate_follower(world: World) -> None:
    leader = world.leader()
    followers = [name for name in world.replicas if leader is None or name != leader.name]
    world.isolate(world.random.choice(followers))
    world.at(700, world.heal)


def block_one_direction(world: World) -> None:
    inward = world.random.random() < 0.5
    world.isolate(world.random.choice(list(world.replicas)), inward, not inward)
    world.at(600, world.heal)


def restart_all(world: World) -> None:
    for replica in world.replicas.values():
        replica.crash()
    world.at(world.random.uniform(1, 300), world.heal)


def crash_in_writes(world: World) -> None:
    for replica in world.replicas.values():
        replica.disk.crash_at = replica.disk.steps + world.random.randint(1, 40)
    world.at(500, world.heal)


def lose_disk(world: World) -> None:
    world.random.choice(list(world.replicas.values())).wipe()
    world.at(100, world.heal)


def lose_two_around_a_repair(world: World) -> None:
    first, second = world.random.sample(list(world.replicas), 2)
    world.replicas[first].wipe()
    world.at(50, world.replicas[first].start)
    world.run_until(lambda: _is_repaired(world, first))
    world.replicas[second].wipe()
    world.at(50, world.heal)


def slow_disks(world: World) -> None:
    for replica in world.replicas.values():
        replica.sync_ms = world.random.choice([0.0, 5.0, 50.0, 300.0])
    world.at(900, world.heal)


def apply_slowly(world: World) -> None:
    world.apply_ms = world.random.choice([50.0, 300.0, 900.0])
    world.at(900, world.heal)


def jump_wall_clock(world: World) -> None:
    world.wall_offset_ms += world.random.choice([-900_000, 600_000])


def hand_over(world: World) -> None:
    leader = world.leader()
    if leader is not None:
        leader.run(lambda: (leader.node.begin_transfer(), leader.node.flush()))


def _is_repaired(world: World, name: str) -> bool:
    node, leader = world.replicas[name].node, world.leader()
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
    lose_two_around_a_repair,
    slow_disks,
    apply_slowly,
    jump_wall_clock,
    hand_over,
)
SCHEDULES_EACH = 40


@params(*FAULTS)
def test_no_fault_loses_or_repeats_an_accepted_change(fault):
    for seed in range(SCHEDULES_EACH):
        run_schedule(seed, 3 if seed % 4 else 5, [fault])


def test_a_long_apply_on_all_replicas_changes_no_leader():
    for seed in range(20):
        world = World(seed, 3)
        world.run_until(world.is_settled)
        leader = world.leader()
        world.apply_ms = 5 * TIMING.election_ms
        done = lambda result: result.unwrap()  # noqa: E731
        put = PutDocument(b"large", b"", True)
        leader.propose(Command("one", "ana", 1, put_document=put), done)
        world.run_for(30)
        world.apply_ms = 0.0
        world.run_for(10 * TIMING.election_ms)
        assert (world.leader(), len(world.leaders)) == (leader, 1), seed
        assert world.is_settled()


def test_faults_that_come_together():
    for seed in range(100):
        world = World(seed, 5 if seed % 4 == 0 else 3)
        faults = [fault for fault in FAULTS if fault is not lose_two_around_a_repair]
        run_schedule(seed, len(world.replicas), world.random.sample(faults, 3))


def replace_for_good(world: World) -> None:
    """A machine leaves for good; another comes, sooner or later, at another address."""
    name = _pick_with_disk(world)
    world.retire(name)
    world.at(world.random.uniform(0, 1_000), lambda: world.add(name.upper()))


def replace_as_planned(world: World) -> None:
    """The successor starts before its predecessor leaves."""
    name = _pick_with_disk(world)
    world.add(name.upper())
    world.run_for(world.random.uniform(50, 800))
    world.retire(name)


def split_in_halves(world: World) -> None:
    names = list(world.replicas)
    world.random.shuffle(names)
    for name in names[: len(names) // 2]:
        for other in names[len(names) // 2 :]:
            world.blocked |= {(name, other), (other, name)}
    world.at(world.random.uniform(300, 1_200), world.heal)


def freeze_one(world: World) -> None:
    """A machine stands still and wakes."""
    world.random.choice(list(world.replicas.values())).freeze(world.random.uniform(100, 1_500))


def restart_without_a_disk(world: World) -> None:
    for replica in world.replicas.values():
        if not replica.keeps_log:
            replica.crash()
    world.at(100, world.heal)


def leave_one_behind_and_lose_a_disk(world: World) -> None:
    """One replica misses changes while another loses its disk; the rest are the only copies."""
    behind, wiped = world.random.sample([it for it in world.replicas if it in "abcde"], 2)
    world.isolate(behind)
    world.run_for(400)
    world.replicas[wiped].wipe()
    world.at(50, world.replicas[wiped].start)
    world.at(700, world.heal)


def _pick_with_disk(world: World) -> str:
    return world.random.choice([name for name in world.replicas if name in "abcde"])


# Faults, how many replicas found the group and how many without a disk are beside them.
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
def test_open_groups_replace_what_is_lost_and_lose_nothing(faults, size, diskless):
    for seed in range(SCHEDULES_EACH // 2):
        run_schedule(seed, size, faults, World(seed, size, is_open=True, diskless=diskless))


def run_schedule(seed: int, size: int, faults, world: World | None = None) -> None:
    world = world or World(seed, size)
    try:
        world.run_until(lambda: world.leader() is not None)
        for number in range(REQUESTS):
            world.at(number * 120 + world.random.uniform(0, 60), lambda n=number: world.submit(n))
        for fault in faults:
            world.run_for(world.random.uniform(50, 400))
            fault(world)
        world.run_for(1_000)
        world.finish(REQUESTS)
    except AssertionError as error:
        names = [fault.__name__ for fault in faults]
        raise AssertionError(f"seed {seed}, {size} replicas, {names}: {error}") from error
