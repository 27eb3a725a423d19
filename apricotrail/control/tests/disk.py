"""A data folder in memory that loses unsynced bytes and fails at a chosen step."""

from random import Random

from apricotrail.control._files import FileLayer


class Crash(BaseException):
    """The process died inside a file operation."""


class _Inode:
    def __init__(self) -> None:
        self.data, self.synced = b"", b""


class MemoryDisk:
    """One folder; `crash` throws away or keeps unsynced bytes at random."""

    def __init__(self, random: Random) -> None:
        self.random = random
        self.names: dict[str, _Inode] = {}
        self.durable: dict[str, _Inode] = {}
        self.steps = 0
        self.crash_at: int | None = None
        self.fail_at: int | None = None
        self.on_sync = lambda: None

    def layer(self) -> FileLayer:
        return FileLayer(
            self._read,
            self._stepped(self._write),
            self._stepped(self._append),
            self._stepped(self._truncate),
            self._stepped(self._sync),
            self._stepped(self._rename),
            self._stepped(self._sync_folder),
            lambda: None,
        )

    def crash(self) -> None:
        names = self.random.choice([self.names, self.durable])
        self.names = {}
        for name, inode in names.items():
            kept = _Inode()
            kept.data = kept.synced = self._tear(inode)
            self.names[name] = kept
        self.durable = dict(self.names)
        self.crash_at = self.fail_at = None

    def _tear(self, inode: _Inode) -> bytes:
        if inode.data.startswith(inode.synced):
            extra = inode.data[len(inode.synced) :]
            kept = bytearray(extra[: self.random.randint(0, len(extra))])
            if kept and self.random.random() < 0.3:
                kept[self.random.randrange(len(kept))] ^= 0xFF
            return inode.synced + bytes(kept)
        return self.random.choice([inode.synced, inode.data])

    def _stepped(self, work):
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
        inode = self.names.get(name)
        return inode.data if inode is not None else None

    def _write(self, name: str, data: bytes) -> None:
        self.names.setdefault(name, _Inode()).data = data

    def _append(self, name: str, data: bytes) -> None:
        self.names.setdefault(name, _Inode()).data += data

    def _truncate(self, name: str, size: int) -> None:
        inode = self.names[name]
        inode.data = inode.synced = inode.data[:size]

    def _sync(self, name: str) -> None:
        self.on_sync()
        self.names[name].synced = self.names[name].data

    def _rename(self, old: str, new: str) -> None:
        self.names[new] = self.names.pop(old)

    def _sync_folder(self) -> None:
        self.durable = dict(self.names)
