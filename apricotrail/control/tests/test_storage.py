"""The data folder after crashes and damage, on a full disk, and opened by a second process."""

import tempfile
from contextlib import suppress
from pathlib import Path
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st
from nose2.tools import params

from apricotrail.control._files import StorageError, open_data_folder
from apricotrail.control._members import Member
from apricotrail.control._node import Node
from apricotrail.control._setup import Limits, NodeSetup
from apricotrail.control._snapshots import Snapshot
from apricotrail.control._storage import Storage
from apricotrail.control.tests.disk import Crash, MemoryDisk
from apricotrail.control.tests.simulation import DOCUMENTS, ZONES
from apricotrail.wire.generated.ttypes import (
    AssignHost,
    Command,
    InstallView,
    LogEntry,
    PutDocument,
    SetTargetState,
    SetZoneState,
    ViewMember,
)


def fill(storage: Storage, batches: int = 4) -> None:
    storage.load()
    for batch in range(batches):
        storage.add_term(batch + 1, "a")
        for index in (2 * batch + 1, 2 * batch + 2):
            storage.add_entry(LogEntry(index, batch + 1, b"command %d" % index))
        storage.commit()


def expect_storage_error(work) -> str:
    try:
        work()
    except StorageError as error:
        assert error.problem.remedy
        return error.problem.message
    raise AssertionError("no StorageError was raised")


@params(1, 7, 30)
def test_an_incomplete_last_record_is_truncated(cut_bytes):
    disk = MemoryDisk(Random(1))
    fill(Storage(disk.operations()))
    log = disk.files["log"]
    log.data = log.data[:-cut_bytes]
    stored = Storage(disk.operations()).load()
    assert [entry.index for entry in stored.entries] == [1, 2, 3, 4, 5, 6, 7]
    assert len(log.data) == len(log.synced)


@params(0, 5, 40, 90)
def test_damage_before_the_last_batch_is_refused(offset):
    disk = MemoryDisk(Random(1))
    fill(Storage(disk.operations()))
    data = bytearray(disk.files["log"].data)
    data[offset] ^= 1
    disk.files["log"].data = bytes(data)
    assert "damaged" in expect_storage_error(Storage(disk.operations()).load)


@params("identity", "log", "snapshot")
def test_a_missing_or_damaged_file_is_refused(name):
    disk = MemoryDisk(Random(1))
    storage = Storage(disk.operations())
    fill(storage)
    storage.save_snapshot(Snapshot(8, 4, b"state"), [])
    if name == "snapshot":
        disk.files[name].data = disk.files[name].data[:-1]
    else:
        del disk.files[name]
    expect_storage_error(Storage(disk.operations()).load)


def test_nothing_is_written_after_a_failed_sync():
    disk = MemoryDisk(Random(1))
    storage = Storage(disk.operations())
    fill(storage)
    disk.fail_at = disk.steps + 2
    storage.add_entry(LogEntry(9, 4, b""))
    expect_storage_error(storage.commit)
    disk.fail_at = None
    expect_storage_error(storage.commit)


# Guards against a replica that confirms what it read after the end of its process, while the bytes
# or the name of the file have never been synced.
def test_what_was_read_after_a_kill_outlasts_a_power_loss():
    for step in range(1, 40):
        for seed in range(8):
            disk = MemoryDisk(Random(seed))
            disk.crash_at = step
            with suppress(Crash):
                storage = Storage(disk.operations(), lambda: "1")
                fill(storage)
                kept = [LogEntry(index, 4, b"command %d" % index) for index in (7, 8)]
                storage.save_snapshot(Snapshot(6, 3, b"state"), kept)
                storage.add_entry(LogEntry(9, 4, b"command 9"))
                storage.commit()
            disk.crash_at = None
            read = Storage(disk.operations(), lambda: "2").load()
            disk.crash()
            assert Storage(disk.operations(), lambda: "3").load() == read, (step, seed)


# Guards against a replica that confirms what a failed sync left in memory only: a later
# sync succeeds without bringing it to the disk.
def test_what_was_read_after_a_failed_sync_outlasts_a_power_loss():
    for seed in range(20):
        disk = MemoryDisk(Random(seed))
        storage = Storage(disk.operations())
        fill(storage)
        storage.add_entry(LogEntry(9, 4, b"command 9"))
        disk.full = disk.late = True
        expect_storage_error(storage.commit)
        disk.full = False
        read = Storage(disk.operations()).load(after_failure=True)
        assert [entry.index for entry in read.entries] == [1, 2, 3, 4, 5, 6, 7, 8, 9]
        disk.crash()
        assert Storage(disk.operations()).load() == read, seed


# Guards against half-written files of a full disk that keep it full.
def test_half_written_files_take_no_room_after_the_next_start():
    disk = MemoryDisk(Random(1))
    fill(Storage(disk.operations()))
    disk.crash_at = disk.steps + 2
    with suppress(Crash):
        Storage(disk.operations()).save_snapshot(Snapshot(8, 4, b"state" * 1_000), [])
    assert disk.files["snapshot.new"].data
    stored = Storage(disk.operations()).load()
    assert not disk.files["snapshot.new"].data
    assert [entry.index for entry in stored.entries] == [1, 2, 3, 4, 5, 6, 7, 8]


def test_a_folder_is_locked_by_one_process_and_keeps_its_identity():
    with tempfile.TemporaryDirectory() as folder:
        files = open_data_folder(Path(folder) / "data")
        storage = Storage(files)
        fill(storage)
        assert "in use" in expect_storage_error(lambda: open_data_folder(Path(folder) / "data"))
        identity = storage.load().identity
        storage.save_snapshot(Snapshot(8, 4, b"state"), [LogEntry(8, 4, b"command 8")])
        storage.close()
        again = Storage(open_data_folder(Path(folder) / "data"))
        stored = again.load()
        assert (stored.identity, stored.snapshot) == (identity, Snapshot(8, 4, b"state"))
        assert [entry.index for entry in stored.entries] == [8]
        again.close()


FREQUENT_SNAPSHOTS = Limits(snapshot_entries=4, retained_entries=2)


class Single:
    """A group of one replica, which may crash and start again on the same disk."""

    def __init__(self, seed: int, limits: Limits = FREQUENT_SNAPSHOTS):
        self.random = Random(seed)
        self.disk = MemoryDisk(self.random)
        self.limits = limits
        self.accepted: dict[str, object] = {}
        self.open()

    def open(self) -> None:
        files = self.disk.operations()
        send = lambda peer, message: None  # noqa: E731
        setup = NodeSetup(
            "a",
            files,
            DOCUMENTS,
            lambda: 0.0,
            self.random,
            send,
            lambda: None,
            limits=self.limits,
            make_identity=lambda: "1",
        )
        self.node = Node(setup)
        if not self.node.is_formed:
            self.node.form({self.node.replica_id: Member("a", True)})
        self.node.tick()
        self.node.flush()

    def propose(self, command: Command) -> None:
        def note(result) -> None:
            self.accepted.setdefault(command.request_id, result.unwrap())

        self.node.propose(command, note)
        self.node.flush()

    def restart(self) -> None:
        self.disk.crash()
        while True:
            try:
                self.open()
                return
            except Crash:
                self.disk.crash()

    def propose_through_crashes(self, command: Command) -> None:
        try:
            self.propose(command)
        except Crash:
            self.restart()


def test_a_crash_in_any_file_operation_loses_no_answered_change():
    for step in range(1, 80):
        single = Single(step)
        single.disk.crash_at = step
        for number in range(12):
            put = PutDocument(b"text %d" % number, b"", True)
            command = Command(f"r{number}", "ana", number, put_document=put)
            while command.request_id not in single.accepted:
                single.propose_through_crashes(command)
        numbers = [record.number for record in single.node.machine.history]
        assert numbers == list(range(1, 13)), (step, numbers)
        assert single.node.machine.version == 12


def test_a_change_is_not_answered_on_a_full_disk():
    single = Single(1)
    single.propose(Command("one", "ana", 1, put_document=PutDocument(b"text", b"", True)))
    single.disk.fail_at = single.disk.steps + 1
    expect_storage_error(
        lambda: single.propose(Command("two", "ana", 2, set_zone_state=SetZoneState("pipa", False)))
    )
    assert list(single.accepted) == ["one"]
    single.disk.fail_at = None
    single.restart()
    assert single.node.machine.read_item("zone-state/pipa") in (None, {"in_service": False})


# Guards against a replica that stops at each change while its disk has room for the log only.
def test_changes_are_answered_without_room_for_a_snapshot_which_is_written_later():
    single = Single(1)
    single.disk.too_large = "snapshot.new"
    for number in range(30):
        single.propose(Command(f"r{number}", "ana", 1, set_zone_state=SetZoneState("pipa", True)))
        if number == 20:
            assert single.node.snapshot_index == 1
            single.disk.too_large = ""
    assert len(single.accepted) == 30
    assert single.node.snapshot_index > 20
    single.restart()
    assert len(single.node.machine.requests.export()) == 30


names = st.sampled_from(["x", "y"])
bodies = st.one_of(
    st.builds(
        lambda text: {"put_document": PutDocument(text, b"", True)},
        st.sampled_from([b"one", b"two", b"bad"]),
    ),
    st.builds(
        lambda zone, state: {"set_zone_state": SetZoneState(zone, state)},
        st.sampled_from([*ZONES, "none"]),
        st.booleans(),
    ),
    st.builds(
        lambda name, state: {"set_target_state": SetTargetState(name, state)}, names, st.booleans()
    ),
    st.builds(
        lambda epoch, members: {
            "install_view": InstallView(epoch, [ViewMember(it, 1, "", "") for it in members], 0)
        },
        st.integers(1, 4),
        st.lists(names, unique=True),
    ),
    st.builds(
        lambda entry, epoch: {"assign_host": AssignHost("x", entry, 1, epoch)},
        names,
        st.integers(1, 3),
    ),
)
commands = st.builds(
    lambda request, expect, wall_ms, body: Command(
        f"r{request}" if request else "", "ana", wall_ms, expect, **body
    ),
    st.integers(0, 12),
    st.none() | st.integers(0, 6),
    st.integers(0, 10_000_000),
    bodies,
)


@settings(derandomize=True, deadline=None, max_examples=150)
@given(st.lists(commands, max_size=25), st.sets(st.integers(1, 60), max_size=3), st.integers(0, 9))
def test_snapshot_and_restart_equal_replay(sequence, crashes, seed):
    whole = Single(seed, Limits(snapshot_entries=1_000))
    broken = Single(seed)
    for number, command in enumerate(sequence):
        whole.propose(command)
        before = broken.node.applied_index
        broken.propose(command)
        assert broken.node.applied_index >= before
        if number in crashes:
            broken.restart()
            assert broken.node.machine.export() == whole.node.machine.export()
    whole.restart()
    assert broken.node.machine.export() == whole.node.machine.export()
