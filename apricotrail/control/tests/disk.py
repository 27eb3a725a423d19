"""A data folder in memory that may lose unsynced bytes in a crash and fail at a chosen step."""

from errno import ENOSPC
from random import Random

from apricotrail.control._files import FileOperations


class Crash(BaseException):
    """Simulates the death of the process inside a file operation."""


class _File:
    """A file. Once a sync has failed it is `unsyncable`: later ones succeed without effect."""

    def __init__(self) -> None:
        self.data, self.synced = b"", b""
        self.unsyncable = False


class FillableDisk:
    """Wraps the operations on a real folder; while `full`, it takes a part of what is written."""

    def __init__(self) -> None:
        self.full = False

    def wrap(self, files: FileOperations) -> FileOperations:
        def limit(work):
            def write(name: str, data: bytes) -> None:
                if not self.full or not data:
                    work(name, data)
                    return
                work(name, data[: len(data) // 2])
                raise OSError(ENOSPC, "no space left")

            return write

        return files._replace(write=limit(files.write), append=limit(files.append))


class MemoryDisk:
    """One folder of files.

    `crash` drops, keeps or corrupts unsynced bytes at random. `crash_at` is the file operation in
    which the process dies, before or after it takes effect; from the operation `fail_at` on all of
    them fail, as on a faulty disk. While the disk is `full`, a part of what is written is taken
    before the operation fails; if it is also `late`, only the sync fails. There is never room for
    the file `too_large`. `synced_files` is the folder as of its last sync.
    """

    def __init__(self, random: Random) -> None:
        self.random = random
        self.files: dict[str, _File] = {}
        self.synced_files: dict[str, _File] = {}
        self.steps = 0
        self.crash_at: int | None = None
        self.fail_at: int | None = None
        self.full = self.late = False
        self.too_large = ""
        self.on_sync = lambda: None

    def operations(self) -> FileOperations:
        return FileOperations(
            self._read,
            self._count_step(self._write),
            self._count_step(self._append),
            self._count_step(self._truncate),
            self._count_step(self._sync),
            self._count_step(self._rename),
            self._count_step(self._sync_folder),
            lambda: None,
        )

    def crash(self) -> None:
        surviving = self.random.choice([self.files, self.synced_files])
        self.files = {}
        for name, file in surviving.items():
            kept = _File()
            kept.data = kept.synced = self._lose_unsynced_bytes(file)
            self.files[name] = kept
        self.synced_files = dict(self.files)
        self.crash_at = self.fail_at = None

    def _lose_unsynced_bytes(self, file: _File) -> bytes:
        if file.data.startswith(file.synced):
            unsynced = file.data[len(file.synced) :]
            kept = bytearray(unsynced[: self.random.randint(0, len(unsynced))])
            if kept and self.random.random() < 0.3:
                kept[self.random.randrange(len(kept))] ^= 0xFF
            return file.synced + bytes(kept)
        return self.random.choice([file.synced, file.data])

    def _count_step(self, work):
        def run(*arguments):
            self.steps += 1
            if self.steps == self.crash_at:
                if self.random.random() < 0.5:
                    work(*arguments)
                raise Crash
            if self.fail_at is not None and self.steps >= self.fail_at:
                raise OSError("no space left")
            return work(*arguments)

        return run

    def _read(self, name: str) -> bytes | None:
        file = self.files.get(name)
        return file.data if file is not None else None

    def _write(self, name: str, data: bytes) -> None:
        self.files.setdefault(name, _File()).data = b""
        self._append(name, data)

    def _append(self, name: str, data: bytes) -> None:
        taken_bytes = len(data)
        if data and (name == self.too_large or self.full and not self.late):
            taken_bytes = self.random.randrange(len(data))
        self.files.setdefault(name, _File()).data += data[:taken_bytes]
        if taken_bytes < len(data):
            raise OSError(ENOSPC, "no space left")

    def _truncate(self, name: str, size_bytes: int) -> None:
        file = self.files[name]
        file.data = file.data[:size_bytes]
        file.synced = file.synced[:size_bytes] if file.unsyncable else file.data

    def _sync(self, name: str) -> None:
        self.on_sync()
        file = self.files[name]
        if self.full and file.data != file.synced:
            file.unsyncable = True
            raise OSError(ENOSPC, "no space left")
        if not file.unsyncable:
            file.synced = file.data

    def _rename(self, old: str, new: str) -> None:
        self.files[new] = self.files.pop(old)

    def _sync_folder(self) -> None:
        self.synced_files = dict(self.files)
