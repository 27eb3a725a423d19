"""File operations in one locked data folder, as a set of functions that tests can replace."""

import fcntl
import os
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

from apricotrail.errors import ApricotrailError, ErrorKind, Problem

__all__ = [
    "FileOperations",
    "StorageError",
    "WriteError",
    "make_memory_files",
    "open_data_folder",
]

LOCK_NAME = "lock"


class StorageError(ApricotrailError):
    """The data folder can't be used; the replica stops and confirms nothing further."""


class WriteError(StorageError):
    """A write or sync failed, as on a full disk; the folder may be usable again later."""


class FileOperations(NamedTuple):
    """Operations on the files of one folder, by file name.

    Attributes
    ----------
    read : callable
        ``read(name)`` returns the content, or None if there is no such file.
    write : callable
        ``write(name, data)`` replaces the content without a sync.
    append : callable
        ``append(name, data)`` writes at the end without a sync.
    truncate : callable
        ``truncate(name, size_bytes)`` shortens the file and syncs it.
    sync : callable
        ``sync(name)`` returns once the content is on the disk.
    rename : callable
        ``rename(old, new)`` renames `old` and replaces `new` atomically.
    sync_folder : callable
        ``sync_folder()`` returns once creations and renames are on the disk.
    close : callable
        ``close()`` closes the files and releases the lock.
    """

    read: Callable[[str], bytes | None]
    write: Callable[[str, bytes], None]
    append: Callable[[str, bytes], None]
    truncate: Callable[[str, int], None]
    sync: Callable[[str], None]
    rename: Callable[[str, str], None]
    sync_folder: Callable[[], None]
    close: Callable[[], None]


def open_data_folder(folder: Path) -> FileOperations:
    """Lock `folder`, creating it if needed, and return the operations on its files.

    Raises
    ------
    StorageError
        If the folder can't be opened or another process has locked it.
    """
    lock_descriptor = _lock_folder(folder)
    descriptors: dict[str, int] = {}

    def descriptor(name: str) -> int:
        if name not in descriptors:
            flags = os.O_RDWR | os.O_APPEND | os.O_CREAT | os.O_CLOEXEC
            descriptors[name] = os.open(folder / name, flags, 0o600)
        return descriptors[name]

    def close_file(name: str) -> None:
        if name in descriptors:
            os.close(descriptors.pop(name))

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
        close_file(old)
        close_file(new)
        os.replace(folder / old, folder / new)

    def sync_folder() -> None:
        folder_descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(folder_descriptor)
        finally:
            os.close(folder_descriptor)

    def close() -> None:
        for name in list(descriptors):
            close_file(name)
        os.close(lock_descriptor)

    def sync(name: str) -> None:
        os.fdatasync(descriptor(name))

    return FileOperations(read, write, append, truncate, sync, rename, sync_folder, close)


def make_memory_files() -> FileOperations:
    """Return the same operations on files in memory, which are lost with the process."""
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

    return FileOperations(
        read, write, append, truncate, lambda name: None, rename, lambda: None, files.clear
    )


def _lock_folder(folder: Path) -> int:
    try:
        folder.mkdir(parents=True, exist_ok=True, mode=0o700)
        lock_descriptor = os.open(folder / LOCK_NAME, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
    except OSError as error:
        remedy = "Set control.data_folder to a folder that this process may write to."
        message = f"The data folder can't be opened: {error}."
        raise StorageError(Problem(ErrorKind.STORAGE, message, remedy)) from error
    try:
        fcntl.flock(lock_descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError as error:
        os.close(lock_descriptor)
        remedy = "Stop the other control process, or set control.data_folder to another folder."
        message = f"The data folder {folder} is in use by another process."
        raise StorageError(Problem(ErrorKind.STORAGE, message, remedy)) from error
    return lock_descriptor
