"""Bytes of each kind of message at several counts."""

from collections.abc import Callable

from fit import Series
from timing import JOB, TASK_SIZES, _start_message, outcome_message


def measure_bytes() -> list[Series]:
    """Return the size series, in bytes of a frame."""
    from apricotrail.wire import encode_frame

    return [
        Series(key, title, "bytes", sizes, tuple(len(encode_frame(make(n))) for n in sizes))
        for key, title, sizes, make in PROBES
    ]


def _heartbeat(loads: int) -> object:
    from apricotrail.wire.generated.ttypes import Heartbeat, Load

    load = Load("repair-00017", 16, 3, 13, True)
    return Heartbeat(200_000, 200_000, 17_000, 640, [load] * loads)


def _change(items: int) -> object:
    from apricotrail.wire.generated.ttypes import ConfigurationChange, ConfigurationItem

    item = ConfigurationItem("zone-state/pipa", b'{"in_service":true}')
    return ConfigurationChange(17_000, 17_001, [item] * items)


def _claim(answers: int) -> object:
    from apricotrail.wire.generated.ttypes import Claim, ClaimRecord

    return Claim(1, ClaimRecord(JOB, "entry-1", 5, 1, bytes(32), 0, b"x" * 170 * answers))


def _append(entries: int) -> object:
    from apricotrail.wire import encode_message
    from apricotrail.wire.generated.ttypes import Append, Command, LogEntry, SetZoneState

    command = Command(JOB, "operator", 1_790_000_000_000, 17_000, None, SetZoneState("pipa", True))
    entry = LogEntry(17_000, 3, encode_message(command))
    return Append(3, "control-1", 16_999, 3, [entry] * entries, 16_999, 5, 40)


PROBES: tuple[tuple[str, str, tuple[int, ...], Callable[[int], object]], ...] = (
    ("heartbeat", "load in a heartbeat", (0, 1, 10, 100), _heartbeat),
    ("start", "task in a start message, body of 168 bytes", TASK_SIZES, _start_message),
    ("outcome", "task in an outcome message, answer of 168 bytes", TASK_SIZES, outcome_message),
    ("claim", "answer of 170 bytes in a claim", (0, 1, 10, 100), _claim),
    ("change", "item in a configuration change", (1, 10, 100), _change),
    ("append", "log entry in a message between control replicas", (0, 1, 10, 100), _append),
)
