"""Replicas in virtual time on a faulty network and faulty disks, with the invariants checked."""

import json
from collections import Counter
from collections.abc import Collection
from heapq import heappop, heappush
from itertools import count
from random import Random

from returns.result import Failure, Success

from apricotrail.control._changes import DocumentFunctions
from apricotrail.control._contacts import MemberContacts
from apricotrail.control._files import StorageError
from apricotrail.control._member_repair import (
    decide_member_change,
    decide_open_member_change,
    note_contacts,
)
from apricotrail.control._members import Member
from apricotrail.control._node import Node
from apricotrail.control._protocol import ms_until_tick
from apricotrail.control._quorums import GroupPlan
from apricotrail.control._repair_limits import (
    OVERSEE_INTERVAL_MS,
    REMOVE_AFTER_MS,
    REPAIRED_AFTER_MS,
    REPLACE_AFTER_MS,
    RepairLimits,
)
from apricotrail.control._replica import Timing
from apricotrail.control._setup import Limits, NodeSetup
from apricotrail.control._upkeep import removes_proposer
from apricotrail.control._voters import LinkedReplica, count_seats, decide_departure
from apricotrail.control.tests.disk import Crash, MemoryDisk
from apricotrail.errors import ErrorKind, Problem
from apricotrail.membership import replica_name
from apricotrail.wire.generated.ttypes import Command, PutDocument, SetZoneState

TIMING = Timing(round_ms=60, election_ms=200)
LIMITS = Limits(snapshot_entries=8, retained_entries=3)
TICK_MS = 30
REPAIR_SCALE = 1 / 2  # of the limits in production, like the time of an election
REPAIR_LIMITS = RepairLimits(REPLACE_AFTER_MS * REPAIR_SCALE, REMOVE_AFTER_MS * REPAIR_SCALE)
SYNC_MS = REPAIRED_AFTER_MS * REPAIR_SCALE
REOPEN_MS = 250.0
ZONES = ("pipa", "natal", "jeri")
FOUNDING_NAMES = "abcdefgh"


def parse(text: bytes):
    problem = Problem(ErrorKind.MALFORMED, "It is bad.", "Mend it.")
    return Failure((problem,)) if text.startswith(b"bad") else Success(text)


def make_items(text: bytes) -> dict[str, bytes]:
    zones = {f"zone/{zone}": b"{}" for zone in ZONES}
    return {**zones, "service/text": json.dumps(text.decode()).encode()}


DOCUMENTS = DocumentFunctions(parse, lambda old, new: (), make_items)


class Replica:
    """One replica of the simulated cluster: its disk, its clock, and its node while it runs.

    `step_ms` is the time that the current step of the process has taken so far; `busy_until_ms` is
    the virtual time at which the process can run the next step.
    """

    def __init__(self, cluster: "Cluster", name: str, has_durable_log: bool = True) -> None:
        self.cluster, self.name, self.has_durable_log = cluster, name, has_durable_log
        self.zone = cluster.find_zone(name)
        self.disk = MemoryDisk(cluster.random)
        self.disk.on_sync = self._count_sync
        self.contacts = MemberContacts(2 * OVERSEE_INTERVAL_MS * REPAIR_SCALE)
        self.offset_ms = cluster.random.uniform(0, 10_000)
        self.step_ms = self.sync_ms = self.busy_until_ms = 0.0
        self.node: Node | None = None
        self.stated_version = 0

    def clock(self) -> float:
        return self.cluster.now_ms + self.step_ms + self.offset_ms

    def start(self, after_failure: bool = False) -> None:
        cluster = self.cluster
        setup = NodeSetup(
            self.name,
            self.disk.operations(),
            DOCUMENTS,
            self.clock,
            cluster.random,
            lambda peer, message: cluster.send(self, peer, message),
            lambda: None,
            TIMING,
            LIMITS,
            self._make_identity,
            after_failure,
        )
        self.run(lambda: self._open(setup))
        cluster.at(cluster.random.uniform(0, TICK_MS), lambda: self._tick(self.node))

    def _make_identity(self) -> str:
        return (
            "memory-" * (not self.has_durable_log) + f"{self.cluster.random.getrandbits(48):012x}"
        )

    def run(self, work) -> None:
        """Run a step of the process and check the invariants; a crash in it ends the process.

        After a failed write the data folder is opened again until that works.
        """
        try:
            work()
            self.cluster.check(self)
        except Crash:
            self.crash()
        except StorageError:
            self.node = None
            self.cluster.at(REOPEN_MS, self._reopen)
        self.busy_until_ms = self.cluster.now_ms + self.step_ms
        self.step_ms = 0.0

    def _reopen(self) -> None:
        if self.node is None:
            self.start(after_failure=True)

    def crash(self) -> None:
        self.node = None
        self.disk.crash()
        if not self.has_durable_log:
            self.wipe()

    def freeze(self, span_ms: float) -> None:
        """Suspend the process for `span_ms`; its own clock goes on, as CLOCK_BOOTTIME does."""
        self.busy_until_ms = self.cluster.now_ms + span_ms

    def wipe(self) -> None:
        self.node = None
        self.disk = MemoryDisk(self.cluster.random)
        self.disk.on_sync = self._count_sync

    def receive(self, sender: str, message) -> None:
        def work() -> None:
            self.node.receive(sender, message)
            # A process answers other messages before the flush that follows.
            self.cluster.check(self)
            self.node.flush()

        self._run_when_idle(self.node, work)

    def propose(self, command: Command, on_answer) -> None:
        def work() -> None:
            self.node.propose(command, on_answer)
            self.node.flush()

        if self.node is not None:
            self._run_when_idle(self.node, work)

    def _open(self, setup: NodeSetup) -> None:
        node = Node(setup)
        self.contacts = MemberContacts(2 * OVERSEE_INTERVAL_MS * REPAIR_SCALE)
        apply = node.machine.apply
        node.machine.apply = lambda command: self.cluster.apply_checked(node, command, apply)
        self.node = node
        if self.cluster.is_open:
            node.replica.plan = self.cluster.plan
        self.stated_version = 0

    def _run_when_idle(self, node: Node | None, work) -> None:
        if node is None or node is not self.node:
            return
        if self.busy_until_ms > self.cluster.now_ms:
            self.cluster.at(
                self.busy_until_ms - self.cluster.now_ms, lambda: self._run_when_idle(node, work)
            )
            return
        self.run(work)

    def _tick(self, node: Node | None) -> None:
        def work() -> None:
            self.cluster.propose_member_change(node)
            node.tick()
            node.flush()

        if node is None or node is not self.node:
            return
        self._run_when_idle(node, work)
        pause_ms = ms_until_tick(node.replica, self.clock())
        self.cluster.at(pause_ms, lambda: self._tick(node))

    def _count_sync(self) -> None:
        self.step_ms += self.sync_ms


class Cluster:
    """All replicas, the network between them and what was observed so far.

    In an open group every linked replica may join, and members that stay silent are replaced and
    removed as `REPAIR_LIMITS` say. `diskless` replicas, which keep their log in memory, are added
    to the founding ones. These fill the zones one after another, `per_zone` in each; a further
    replica is in the zone of the founding one whose name its own begins with. At most `losses`
    replicas are lost at once.
    """

    def __init__(
        self,
        seed: int,
        size: int,
        is_open: bool = False,
        diskless: int = 0,
        per_zone: int = 1,
        losses: int = 1,
    ) -> None:
        self.is_open, self.per_zone = is_open, per_zone
        self.plan = GroupPlan(losses, -(-size // per_zone))
        self.random = Random(seed)
        self.now_ms = 0.0
        self.wall_offset_ms = 1_000_000
        self.loss_share = self.duplicate_share = self.apply_ms = 0.0
        self.latency_ms = (0.5, 5.0)
        self.blocked: set[tuple[str, str]] = set()
        self._queue: list = []
        self._order = count()
        self.committed: dict[int, bytes] = {}
        self.first_applied_ms: dict[int, float] = {}
        self.leaders: dict[int, str] = {}
        self.answers: dict[str, tuple] = {}
        self.replicas = {name: Replica(self, name) for name in FOUNDING_NAMES[:size]}
        for replica in self.replicas.values():
            replica.start()
        members = {it.node.replica_id: Member(name, True) for name, it in self.replicas.items()}
        for name in "vwxyz"[:diskless]:
            self.add(name, has_durable_log=False)
        first = self.replicas["a"]
        first.run(lambda: first.node.form(members))

    def find_zone(self, name: str) -> str:
        """Return the zone of a replica by the first letter of its name."""
        position = FOUNDING_NAMES.find(name[0].lower())
        return f"zone-{position // self.per_zone}" if position >= 0 else name

    def add(self, name: str, has_durable_log: bool = True) -> None:
        """Start a new replica, at a new address and with an empty disk."""
        self.replicas[name] = Replica(self, name, has_durable_log)
        self.replicas[name].start()

    def remove(self, name: str) -> None:
        """End a replica permanently."""
        self.replicas.pop(name).crash()

    def stop(self, name: str) -> None:
        """End a replica permanently by a planned stop: it leaves the group if that is better."""
        change = decide_departure(self.replicas[name].node.replica)
        if change is not None:
            command = Command("", name, 0, change_member=change)
            left: list = []
            self.run_until(lambda: self.leader() is not None)
            self.leader().propose(command, left.append)
            self.run_until(lambda: left, 1_000)
        self.remove(name)

    # ---- time and network ----

    def at(self, delay_ms: float, work) -> None:
        heappush(self._queue, (self.now_ms + delay_ms, next(self._order), work))

    def run_for(self, span_ms: float) -> None:
        end_ms = self.now_ms + span_ms
        while self._queue and self._queue[0][0] <= end_ms:
            self.now_ms, _, work = heappop(self._queue)
            work()
        self.now_ms = end_ms

    def run_until(self, condition, limit_ms: float = 20_000) -> None:
        end_ms = self.now_ms + limit_ms
        while not condition():
            assert self.now_ms < end_ms, "the condition was not met in time"
            self.run_for(20)

    def send(self, sender: Replica, peer: str, message) -> None:
        name = replica_name(peer)
        own_id = sender.node.replica_id
        for _ in range(1 + (self.random.random() < self.duplicate_share)):
            if self.random.random() >= self.loss_share and (sender.name, name) not in self.blocked:
                delay_ms = sender.step_ms + self.random.uniform(*self.latency_ms)
                self.at(delay_ms, lambda: self._deliver(own_id, peer, message))

    def _deliver(self, sender_id: str, peer: str, message) -> None:
        receiver = self.replicas.get(replica_name(peer))
        if receiver is None or (replica_name(sender_id), receiver.name) in self.blocked:
            return
        if receiver.node is not None and receiver.node.replica_id == peer:
            receiver.receive(sender_id, message)

    def isolate(self, name: str, inward: bool = True, outward: bool = True) -> None:
        for other in self.replicas:
            if other != name and outward:
                self.blocked.add((name, other))
            if other != name and inward:
                self.blocked.add((other, name))

    def heal(self) -> None:
        self.blocked.clear()
        self.loss_share = self.duplicate_share = self.apply_ms = 0.0
        self.latency_ms = (0.5, 5.0)
        for replica in self.replicas.values():
            replica.sync_ms = 0.0
            replica.disk.crash_at = None
            replica.disk.full = False
            if replica.node is None:
                replica.start()

    # ---- operators ----

    def submit(self, number: int, to_leader: bool = False) -> None:
        """Propose one command until it is answered, now and then once more.

        It goes to random replicas, or to the leader, to which replicas bring what others propose.
        """
        command = self._make_command(number)
        self._propose_until_answered(command, 300, to_leader)

    def _make_command(self, number: int) -> Command:
        random = self.random
        expect = random.randint(0, max(self.first_applied_ms, default=0))
        command = Command(f"r{number}", f"op{number % 3}", 0)
        command.expect = expect if random.random() < 0.3 else None
        if number == 0 or random.random() < 0.2:
            command.put_document = PutDocument(b"text %d" % random.randint(0, 5), b"", True)
        else:
            command.set_zone_state = SetZoneState(random.choice(ZONES), random.random() < 0.5)
        return command

    def _propose_until_answered(self, command: Command, tries_left: int, to_leader: bool) -> None:
        if tries_left == 0:
            return

        def on_answer(result) -> None:
            if isinstance(result, Success):
                self._check_answer(command.request_id, result.unwrap())

        copy = Command(**{name: getattr(command, name) for name in Command.__slots__})
        copy.wall_ms = int(self.wall_offset_ms + self.now_ms)
        receiver = self.leader() if to_leader else None
        receiver = receiver or self.random.choice(list(self.replicas.values()))
        receiver.propose(copy, on_answer)
        if command.request_id not in self.answers or self.random.random() < 0.2:
            pause_ms = self.random.uniform(10, 150)
            self.at(
                pause_ms,
                lambda: self._propose_until_answered(command, tries_left - 1, to_leader),
            )

    def _check_answer(self, request_id: str, outcome) -> None:
        first = self.answers.setdefault(request_id, outcome)
        assert first == outcome, f"{request_id} was answered again with another outcome"

    # ---- invariants ----

    def apply_checked(self, node: Node, command: bytes, apply):
        known = self.committed.setdefault(node.applied_index, command)
        assert known == command, f"entry {node.applied_index} differs between replicas"
        before = node.machine.version
        outcome = apply(command)
        assert before <= node.machine.version <= before + 1
        self.first_applied_ms.setdefault(node.machine.version, self.now_ms)
        if self.apply_ms:
            self.replicas[replica_name(node.replica_id)].step_ms += self.apply_ms
        return outcome

    def check(self, replica: Replica) -> None:
        node = replica.node
        if node is None:
            return
        if node.replica.is_leader:
            leader = self.leaders.setdefault(node.replica.term, node.replica_id)
            assert leader == node.replica_id, f"two leaders in term {node.replica.term}"
        version = node.machine.version
        assert version >= replica.stated_version, "a version went back within one boot"
        replica.stated_version = version
        next_ms = self.first_applied_ms.get(version + 1)
        as_of_ms = self.now_ms + replica.step_ms - node.confirmation_age_ms()
        assert (
            next_ms is None or as_of_ms <= next_ms
        ), "a confirmation is newer than a change that the replica has not applied"

    def propose_member_change(self, node: Node) -> None:
        running = [it for it in self.replicas.values() if it.node is not None]
        linked = {it.node.replica_id: LinkedReplica(it.name, it.zone) for it in running}
        if not self.is_open:
            change = decide_member_change(node.replica, linked, self.replicas)
        else:
            linked = {key: it for key, it in linked.items() if self._is_linked(node, it.address)}
            silences_ms = self._record_contacts(node, linked)
            note_contacts(node.replica, linked, silences_ms, REPAIR_LIMITS)
            change = decide_open_member_change(
                node.replica,
                linked,
                silences_ms,
                node.machine.joined,
                self.plan,
                REPAIR_LIMITS,
            )
        if change is None:
            return
        command = Command("", node.replica_id, 0, change_member=change)
        if removes_proposer(command):
            node.begin_transfer()
        else:
            node.propose(command, lambda result: None)

    def _record_contacts(self, node: Node, linked: Collection[str]) -> dict[str, float]:
        replica = self.replicas[replica_name(node.replica_id)]
        now_ms = replica.clock()
        heard_ms = dict.fromkeys(linked, now_ms)
        return replica.contacts.record(node.replica.log.members, heard_ms, now_ms)

    def _is_linked(self, node: Node, name: str) -> bool:
        own = replica_name(node.replica_id)
        return own == name or not self.blocked.intersection(((own, name), (name, own)))

    def leader(self) -> Replica | None:
        leaders = [it for it in self.replicas.values() if it.node and it.node.replica.is_leader]
        return max(leaders, key=lambda it: it.node.replica.term, default=None)

    def is_settled(self) -> bool:
        nodes = [it.node for it in self.replicas.values()]
        if None in nodes:
            return False
        states = {(it.applied_index, it.replica.commit_index) for it in nodes}
        voters = self._has_expected_voters()
        members = all(len(it.replica.log.members) == len(nodes) for it in nodes)
        fresh = all(it.confirmation_age_ms() < 4 * TIMING.round_ms for it in nodes)
        return len(states) == 1 and voters and members and fresh and self.leader() is not None

    def _has_expected_voters(self) -> bool:
        """Return whether all replicas with a disk vote, in an open group as many as it has seats.

        There, a single one that is left over may be a spare if the others are an odd number, the
        seats are spread evenly over the zones, and in each those that joined last vote.
        """
        durable = [it for it in self.replicas.values() if it.has_durable_log]
        voters = [it for it in self.replicas.values() if it.node.replica.is_voter]
        if not self.is_open:
            return voters == durable
        by_zone = Counter(it.zone for it in voters)
        spares = [it for it in durable if it not in voters]
        is_spread = all(by_zone[it.zone] + 2 > max(by_zone.values()) for it in spares)
        seats = count_seats(self.plan)
        is_filled = len(voters) == seats or (len(spares) <= 1 and len(voters) < seats)
        joined = durable[0].node.machine.joined
        if not {it.node.replica_id for it in durable} <= set(joined):
            return False
        ranks = {it: joined.index(it.node.replica_id) for it in durable}
        are_last = all(
            ranks[spare] < ranks[it] for spare in spares for it in voters if it.zone == spare.zone
        )
        is_odd = len(voters) % 2 == 1
        return is_filled and is_odd and is_spread and are_last and set(voters) <= set(durable)

    def finish(self, submitted: int) -> None:
        """End all faults, wait until all replicas agree, and check the outcome of each request."""
        self.heal()
        self.run_until(lambda: self.is_settled() and len(self.answers) == submitted)
        machines = [it.node.machine for it in self.replicas.values()]
        assert len({machine.export() for machine in machines}) == 1
        for request_id, outcome in self.answers.items():
            found = machines[0].requests.find(request_id)
            assert found is not None and found[1] == outcome, f"{request_id} was lost"
        changed = [
            outcome.version
            for outcome in self.answers.values()
            if outcome.accepted and json.loads(outcome.answer).get("changed")
        ]
        assert len(changed) == len(set(changed)), "two changes have the same version"
        assert set(changed) <= set(range(1, machines[0].version + 1))
