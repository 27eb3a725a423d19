"""File operations in one locked data folder, as plain functions that tests can replace."""

import fcntl
import os
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

from apricotrail.errors import ApricotrailError, ErrorKind, Problem

__all__ = ["FileLayer", "StorageError", "make_file_layer", "make_memory_layer"]

LOCK_NAME = "lock"


class StorageError(ApricotrailError):
    """The data folder can't be used; the replica stops and confirms nothing."""


class FileLayer(NamedTuple):
    """Operations on the files of one folder, by file name.

    Attributes
    ----------
    read : callable
        ``read(name)`` gives the content, or None if there is no such file.
    write : callable
        ``write(name, data)`` replaces the content without a sync.
    append : callable
        ``append(name, data)`` adds to the end without a sync.
    truncate : callable
        ``truncate(name, size_bytes)`` cuts and syncs.
    sync : callable
        ``sync(name)`` returns once the content is on the disk.
    rename : callable
        ``rename(old, new)`` replaces `new`.
    sync_folder : callable
        ``sync_folder()`` returns once creations and renames are on the disk.
    close : callable
        ``close()`` frees the files and the lock.
    """

    read: Callable[[str], bytes | None]
    write: Callable[[str, bytes], None]
    append: Callable[[str, bytes], None]
    truncate: Callable[[str, int], None]
    sync: Callable[[str], None]
    rename: Callable[[str, str], None]
    sync_folder: Callable[[], None]
    close: Callable[[], None]


def make_file_layer(folder: Path) -> FileLayer:
    """Lock `folder`, creating it if needed, and return the operations on its files.

    Raises
    ------
    StorageError
        If the folder can't be used or another process holds it.
    """
    lock = _lock_folder(folder)
    open_files: dict[str, int] = {}

    def descriptor(name: str) -> int:
        if name not in open_files:
            flags = os.O_RDWR | os.O_APPEND | os.O_CREAT | os.O_CLOEXEC
            open_files[name] = os.open(folder / name, flags, 0o600)
        return open_files[name]

    def forget(name: str) -> None:
        if name in open_files:
            os.close(open_files.pop(name))

    def read(name: str) -> bytes | None:
        path = folder / name
        return path.read_bytes() if path.exists() else None

    def write(name: str, data: bytes) -> None:
        os.ftruncate(descriptor(name), 0)
        append(name, data)

    def append(name: str, data: bytes) -> None:
        view = memoryview(data)
        while view:
            view = view[os.write(descriptor(name), view) :]

    def truncate(name: str, size_bytes: int) -> None:
        os.ftruncate(descriptor(name), size_bytes)
        os.fdatasync(descriptor(name))

    def rename(old: str, new: str) -> None:
        forget(old)
        forget(new)
        os.replace(folder / old, folder / new)

    def sync_folder() -> None:
        folder_file = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(folder_file)
        finally:
            os.close(folder_file)

    def close() -> None:
        for name in list(open_files):
            forget(name)
        os.close(lock)

    def sync(name: str) -> None:
        os.fdatasync(descriptor(name))

    return FileLayer(read, write, append, truncate, sync, rename, sync_folder, close)


def make_memory_layer() -> FileLayer:
    """Return the operations on files that last as long as this process."""
    files: dict[str, bytearray] = {}

    def read(name: str) -> bytes | None:
        return bytes(files[name]) if name in files else None

    def write(name: str, data: bytes) -> None:
        files[name] = bytearray(data)

    def append(name: str, data: bytes) -> None:
        files.setdefault(name, bytearray()).extend(data)

    def truncate(name: str, size_bytes: int) -> None:
        del files[name][size_bytes:]

    def rename(old: str, new: str) -> None:
        files[new] = files.pop(old)

    return FileLayer(
        read, write, append, truncate, lambda name: None, rename, lambda: None, files.clear
    )


def _lock_folder(folder: Path) -> int:
    try:
        folder.mkdir(parents=True, exist_ok=True, mode=0o700)
        lock = os.open(folder / LOCK_NAME, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
    except OSError as error:
        remedy = "Name a folder on a disk that this process may write in control.data_folder."
        message = f"The data folder can't be opened: {error}."
        raise StorageError(Problem(ErrorKind.STORAGE, message, remedy)) from error
    try:
        fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError as error:
        os.close(lock)
        remedy = "Stop the other control process, or give this one a folder of its own."
        message = f"The data folder {folder} is in use by another process."
        raise StorageError(Problem(ErrorKind.STORAGE, message, remedy)) from error
    return lock
