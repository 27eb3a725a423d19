"""Seeded schedules of replaced machines: each order of coming and going, then a further loss."""

from functools import partial

from nose2.tools import params

from apricotrail.control.tests.simulation import REPAIR_SCALE, SYNC_MS, Cluster

SEEDS = 2
ACK_MS = 4_000.0 * REPAIR_SCALE
MAX_PAUSE_MS = 1_500.0 * REPAIR_SCALE
MAX_ABSENCE_MS = 500.0
AWAY_MS = 5_000.0 * REPAIR_SCALE
REPLACEMENTS = 2
# Groups by number of machines with a disk: machines a zone, and losses to be borne at once.
GROUPS = {3: (1, 1), 4: (1, 1), 6: (1, 2), 8: (2, 2)}


def kill(cluster: Cluster, name: str) -> None:
    """End a machine for good without a signal."""
    cluster.remove(name)


def stop(cluster: Cluster, name: str) -> None:
    """End a machine for good by a planned stop."""
    cluster.stop(name)


def freeze_and_kill(cluster: Cluster, name: str) -> None:
    """End a machine for good whose planned stop fell into a freeze."""
    cluster.replicas[name].freeze(10 * AWAY_MS)
    cluster.run_for(cluster.random.uniform(0, MAX_PAUSE_MS))
    cluster.remove(name)


def start_successor_first(cluster: Cluster, end) -> None:
    """A successor runs for as long as it counts as lost; then its predecessor goes."""
    name = cluster.random.choice(list(cluster.replicas))
    cluster.add(f"{name}'")
    cluster.run_for(SYNC_MS)
    end(cluster, name)


def start_successor_last(cluster: Cluster, end) -> None:
    """A machine goes and its successor starts a moment later."""
    name = cluster.random.choice(list(cluster.replicas))
    end(cluster, name)
    cluster.run_for(cluster.random.uniform(0, MAX_ABSENCE_MS))
    cluster.add(f"{name}'")
    cluster.run_for(SYNC_MS)


def start_two_successors_first(cluster: Cluster, end) -> None:
    """The successors of two machines run before either goes; both go at the same time."""
    zones = sorted({it.zone for it in cluster.replicas.values()})
    names = [
        cluster.random.choice([it.name for it in cluster.replicas.values() if it.zone == zone])
        for zone in cluster.random.sample(zones, 2)
    ]
    for name in names:
        cluster.add(f"{name}'")
    cluster.run_for(SYNC_MS)
    for name in names:
        end(cluster, name)


def start_successor_beside_a_restart(cluster: Cluster, end) -> None:
    """The predecessor's process ends and starts again while its successor joins."""
    name = cluster.random.choice(list(cluster.replicas))
    cluster.add(f"{name}'")
    cluster.run_for(cluster.random.uniform(0, MAX_ABSENCE_MS))
    restart(cluster, name)
    cluster.run_for(SYNC_MS)
    end(cluster, name)


def start_successor_that_is_away(cluster: Cluster, end) -> None:
    """The successor is down for a while after it has joined, and back before the other goes."""
    name = cluster.random.choice(list(cluster.replicas))
    cluster.add(f"{name}'")
    cluster.run_for(SYNC_MS)
    crash(cluster, f"{name}'")
    cluster.run_for(AWAY_MS + SYNC_MS)
    end(cluster, name)


def start_successor_and_restart_all(cluster: Cluster, end) -> None:
    """All machines are restarted in turn, as planned, after the successor has joined."""
    name = cluster.random.choice(list(cluster.replicas))
    cluster.add(f"{name}'")
    cluster.run_for(SYNC_MS)
    for other in list(cluster.replicas):
        restart(cluster, other)
        cluster.run_for(SYNC_MS)
    end(cluster, name)


def restart(cluster: Cluster, name: str) -> None:
    cluster.replicas[name].crash()
    cluster.run_for(cluster.random.uniform(0, MAX_ABSENCE_MS))
    cluster.replicas[name].start()


def wipe(cluster: Cluster, name: str) -> None:
    """A machine comes back with an empty disk."""
    cluster.replicas[name].wipe()
    cluster.at(AWAY_MS, cluster.replicas[name].start)


def crash(cluster: Cluster, name: str) -> None:
    """A machine is down for a while."""
    cluster.replicas[name].crash()
    cluster.at(AWAY_MS, cluster.replicas[name].start)


def freeze(cluster: Cluster, name: str) -> None:
    """A machine is suspended for a while."""
    cluster.replicas[name].freeze(AWAY_MS)


def lose_for_good(cluster: Cluster, name: str) -> None:
    """A machine is lost for good, and its successor starts after a while."""
    cluster.remove(name)
    cluster.at(AWAY_MS, lambda: cluster.add(f"{name}'"))


ORDERS = (
    (start_successor_first, kill),
    (start_successor_first, stop),
    (start_successor_first, freeze_and_kill),
    (start_successor_last, kill),
    (start_successor_last, stop),
    (start_two_successors_first, kill),
    (start_successor_beside_a_restart, kill),
    (start_successor_that_is_away, kill),
    (start_successor_and_restart_all, kill),
)
LOSSES = (wipe, crash, freeze, lose_for_good)


def check_losses_after_replacements(seed: int, size: int, order, end, lose) -> None:
    """Replace a machine, lose as many others as may be lost, and expect a change to be accepted."""
    per_zone, losses = GROUPS[size]
    cluster = Cluster(seed, size, is_open=True, per_zone=per_zone, losses=losses)
    cluster.run_until(lambda: cluster.leader() is not None)
    cluster.run_for(SYNC_MS)
    for number in range(REPLACEMENTS):
        order(cluster, end)
        cluster.run_for(cluster.random.choice([0.0, cluster.random.uniform(0, MAX_PAUSE_MS)]))
        for name in cluster.random.sample(list(cluster.replicas), losses):
            lose(cluster, name)
        cluster.submit(number, to_leader=True)
        cluster.run_until(partial(_is_answered, cluster, number), ACK_MS)
        cluster.run_for(AWAY_MS + SYNC_MS)
    cluster.finish(REPLACEMENTS)


def _is_answered(cluster: Cluster, number: int) -> bool:
    return f"r{number}" in cluster.answers


# Guards against a group in which those that went without a word still vote when the next are lost.
@params(*((size, *order, lose) for size in GROUPS for order in ORDERS for lose in LOSSES))
def test_losses_after_each_order_of_replacement_are_borne(size, order, end, lose):
    for seed in range(SEEDS):
        try:
            check_losses_after_replacements(seed, size, order, end, lose)
        except AssertionError as error:
            names = [it.__name__ for it in (order, end, lose)]
            raise AssertionError(f"seed {seed}, {size} replicas, {names}: {error}") from error
