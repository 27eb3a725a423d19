"""Works the measured slopes out at the size to design for."""

from collections.abc import Iterable
from typing import Any

__all__ = ["print_model"]

WORKERS = 22_000
STARTS_S = 850_000
TASKS_PER_JOB = 100
TEAMS = 67
ZONES = 8
REGIONS = 3
CHANGES_DAY = 59_000
DAY_S = 86_400
BUDGET_CORE = 0.01
BUDGET_BYTES = 32e6
BUDGET_BYTES_S = 3_000

RUN_S = 0.3
RETENTION_S = 900
HEARTBEATS_S = 2
PACKET_BYTES = 52  # TCP and IP headers of a frame sent alone
ENTRY_LOAD = 0.7
CLAIM_GROUP = 5
AGENT_ENTRIES = 4
RELAYS = 24
CONTROL_REPLICAS = 9
LEDGER_COMPACT_BYTES = 50  # digest of (job, task) in a table for each minute
ITEM_PACKED_BYTES = 60  # names of a target in a packed block for each zone
AGENT_BASE_BYTES = 28.3e6  # resident before any state, see tools/measure-roles
CONTROL_BASE_BYTES = 29.4e6
US = 1e-6


class Slopes:
    """The fitted lines by section and key."""

    def __init__(self, sections: dict[str, Any]) -> None:
        self._sections = sections

    def slope(self, section: str, key: str) -> float:
        """Return what one more item takes."""
        return self._sections[section][key][1]

    def base(self, section: str, key: str) -> float:
        """Return what a message takes besides its items."""
        return max(0.0, self._sections[section][key][0])


def print_model(sections: dict[str, Any]) -> None:
    """Print each role's figures, today's way beside the way for the full size."""
    slopes = Slopes(sections)
    entries = count_entries(slopes)
    print(f"\n### Worked out\n\nentries for {STARTS_S:,} starts/s: {entries}")
    for title, rows in (
        ("Agent, beside each target", list_agent_rows(slopes, entries)),
        ("Entry", list_entry_rows(slopes, entries)),
        ("Control replica and relay", list_control_rows(slopes, entries)),
        ("Where today's code breaks", list_walls(slopes, entries)),
    ):
        print(f"\n#### {title}\n\n| figure | today's code | for the full size | carried by |")
        print("| --- | --- | --- | --- |")
        for row in rows:
            print("| " + " | ".join(row) + " |")


def find_entry_parts_us(slopes: Slopes) -> float:
    """Return an entry's processor time for one task, summed from the measured parts."""
    time = slopes.slope
    candidates = WORKERS / 200  # targets of one service among 200 services
    messages = time("time", "link_message")  # half of two messages
    coding = sum(slopes.base("time", k) + time("time", k) for k in ("start", "outcome")) / 2
    job = (time("time", "http") / 2 + time("time", "claim") * CLAIM_GROUP / 2) / TASKS_PER_JOB
    placed = candidates * time("time", "placement") / 10
    return messages + coding + job + placed + time("time", "queue") + time("time", "submission")


def find_entry_task_us(slopes: Slopes) -> float:
    """Return an entry's processor time for one task, of the whole process."""
    return slopes.slope("system", "entry_task")


def find_beat(slopes: Slopes) -> float:
    """Return the share of a core that one idle link takes at each end."""
    return slopes.slope("system", "idle_agent") * US


def find_beat_bytes(slopes: Slopes) -> float:
    """Return the bytes of a heartbeat sent and one received, with packet headers."""
    frame = slopes.base("bytes", "heartbeat") + slopes.slope("bytes", "heartbeat")
    return 2 * (frame + PACKET_BYTES)


def count_entries(slopes: Slopes) -> int:
    """Return how many entries carry the peak, one core each."""
    return int(STARTS_S * find_entry_task_us(slopes) * US / ENTRY_LOAD) + 1


def list_agent_rows(slopes: Slopes, entries: int) -> Iterable[tuple[str, ...]]:
    """Give the rows of an agent."""
    starts_s = STARTS_S / WORKERS
    records = starts_s * RETENTION_S
    beat = find_beat(slopes)
    beat_bytes = HEARTBEATS_S * find_beat_bytes(slopes)
    change_bytes = CHANGES_DAY / DAY_S * (slopes.slope("bytes", "change") + 21 + PACKET_BYTES)
    ledger = slopes.slope("memory", "ledger_1")
    yield _row("starts", f"{starts_s:.1f}/s", "the same", "")
    yield _row("links", entries, AGENT_ENTRIES + 1, "subset of entries, one relay")
    idle = slopes.base("system", "idle_agent") * US
    yield _row(
        "heartbeats, core",
        _share(entries * beat),
        _share((AGENT_ENTRIES + 1) * beat / 2),
        "subset of entries; 1 a second",
    )
    yield _row("own timers, core", _share(idle), _share(idle / 4), "timers only when due")
    yield _row(
        "heartbeats, B/s",
        _number(entries * beat_bytes),
        _number((AGENT_ENTRIES + 1) * beat_bytes / 2),
        "subset; 1 a second",
    )
    yield _row(
        "changes, B/s",
        _number(change_bytes * entries),
        _number(change_bytes),
        "one copy, from the zone's relay",
    )
    yield _row(
        "ledger",
        f"{records:,.0f} records, {_mb(records * ledger)}",
        _mb(records * LEDGER_COMPACT_BYTES),
        "digests once an answer is gone",
    )
    yield _row(
        "memory",
        _mb(AGENT_BASE_BYTES + records * ledger),
        _mb(AGENT_BASE_BYTES + records * LEDGER_COMPACT_BYTES),
        "",
    )
    yield _row(
        "tasks, core",
        _share(starts_s * slopes.slope("system", "agent_task") * US),
        "the same",
        "work, not control",
    )


def list_entry_rows(slopes: Slopes, entries: int) -> Iterable[tuple[str, ...]]:
    """Give the rows of an entry."""
    jobs_s = STARTS_S / TASKS_PER_JOB
    task_us = find_entry_task_us(slopes)
    linked = WORKERS * AGENT_ENTRIES // entries
    read = slopes.slope("time", "read_items") * US
    state = slopes.slope("memory", "item") + slopes.slope("memory", "effective")
    per_agent = slopes.slope("system", "entry_memory")
    claims_today = jobs_s * RETENTION_S
    claims = claims_today * CLAIM_GROUP / entries
    claim_bytes = slopes.slope("memory", "claim")
    majority = entries // 2
    change = CHANGES_DAY / DAY_S
    parts_us = find_entry_parts_us(slopes)
    yield _row("task", f"{task_us:.0f} us of a core", "the same", f"parts: {parts_us:.0f} us")
    yield _row("agents linked", WORKERS, linked, "subset of entries")
    yield _row(
        "links and agents, memory",
        _mb(WORKERS * per_agent),
        _mb(linked * per_agent),
        "subset of entries",
    )
    yield _row(
        "heartbeats, core",
        _share(WORKERS * slopes.slope("system", "idle_entry") * US),
        _share(linked * slopes.slope("system", "idle_entry") * US / 4),
        "subset; only on idle links, 1 a second",
    )
    yield _row(
        "configuration, memory",
        _mb(WORKERS * state),
        _mb(WORKERS * state / REGIONS),
        "own region's targets only",
    )
    yield _row(
        "a change, time",
        f"{WORKERS * read * 1e3:.0f} ms, {_share(WORKERS * read * change)}",
        f"{slopes.slope('time', 'change'):.0f} us",
        "changed items only",
    )
    yield _row(
        "claim messages of a job", f"{2 * majority}", f"{2 * (CLAIM_GROUP // 2)}", "claim groups"
    )
    yield _row(
        "claims, core",
        _share(jobs_s * slopes.slope("time", "claim") * US),
        _share(jobs_s * CLAIM_GROUP / entries * slopes.slope("time", "claim") * US),
        "claim groups",
    )
    yield _row(
        "claims held",
        f"{claims_today:,.0f}, {_mb(claims_today * claim_bytes)}",
        f"{claims:,.0f}, {_mb(claims * claim_bytes)}",
        "claim groups",
    )
    answer = TASKS_PER_JOB * slopes.slope("bytes", "outcome")
    yield _row(
        "answers kept",
        f"{256e6 / (answer * jobs_s * 2 / entries):.0f} s in 256 MB",
        "the same",
        "owner and one copy",
    )
    yield _row(
        "quotas, B/s",
        "each entry alone",
        _number(TEAMS * 12 + PACKET_BYTES),
        "team shares by region, 1 a second",
    )


def list_control_rows(slopes: Slopes, entries: int) -> Iterable[tuple[str, ...]]:
    """Give the rows of control."""
    change = CHANGES_DAY / DAY_S
    beat = find_beat(slopes)
    beat_bytes = HEARTBEATS_S * find_beat_bytes(slopes)
    item = slopes.slope("memory", "item")
    document = slopes.slope("memory", "effective")
    push = slopes.slope("bytes", "change") + 21 + PACKET_BYTES
    append = slopes.slope("bytes", "append") + slopes.base("bytes", "append") + PACKET_BYTES
    served = 2 * WORKERS // RELAYS
    yield _row(
        "set aside", 3, CONTROL_REPLICAS + RELAYS, "of 51: a group a region, 3 relays a zone"
    )
    yield _row("links of the leader", entries + 2, RELAYS // REGIONS + 2, "relays")
    yield _row(
        "leader's heartbeats, core",
        _share((entries + 2) * beat),
        _share((RELAYS // REGIONS + 2) * beat),
        "relays",
    )
    yield _row(
        "leader's heartbeats, B/s",
        _number((entries + 2) * beat_bytes),
        _number((RELAYS // REGIONS + 2) * beat_bytes / 2),
        "relays; 1 a second",
    )
    yield _row(
        "changes, B/s",
        _number(change * (entries * push + 2 * append)),
        _number(change / REGIONS * (RELAYS / REGIONS * push + 2 * append)),
        "a group a region",
    )
    yield _row(
        "items and parsed document",
        _mb(WORKERS * (item + document)),
        _mb(WORKERS / REGIONS * 2 * ITEM_PACKED_BYTES),
        "a group a region; packed by zone",
    )
    yield _row(
        "memory",
        _mb(CONTROL_BASE_BYTES + WORKERS * (item + document)),
        _mb(CONTROL_BASE_BYTES + WORKERS / REGIONS * 2 * ITEM_PACKED_BYTES),
        "",
    )
    yield _row("nodes of a relay", "no relays", served, "each node has two, one in use")
    yield _row("relay's heartbeats, core", "", _share(served / 2 * beat / 2), "1 a second")
    yield _row(
        "relay's heartbeats, B/s", "", _number(served / 2 * beat_bytes / 2), "set aside for it"
    )


def list_walls(slopes: Slopes, entries: int) -> Iterable[tuple[str, ...]]:
    """Give the sizes at which today's code leaves its bounds, the smallest first."""
    beat = find_beat(slopes)
    beat_bytes = HEARTBEATS_S * find_beat_bytes(slopes)
    state = slopes.slope("memory", "item") + slopes.slope("memory", "effective")
    read = slopes.slope("time", "read_items") * US
    room = BUDGET_BYTES - AGENT_BASE_BYTES
    control_room = BUDGET_BYTES - CONTROL_BASE_BYTES
    ledger = slopes.slope("memory", "ledger_1")
    yield _row(
        "400,000 claims at a member that holds all", f"{400_000 / RETENTION_S:.0f} jobs/s", "", ""
    )
    yield _row("agent over 3 KB/s", f"{BUDGET_BYTES_S / beat_bytes:.0f} entries", "", "")
    idle = slopes.base("system", "idle_agent") * US
    left = (BUDGET_CORE - idle) / beat
    yield _row("agent over 1% of a core", f"{left:.0f} entries", "", "")
    yield _row(
        "agent over 32 MB", f"{room / ledger / RETENTION_S:.1f} starts/s at one target", "", ""
    )
    yield _row("control over 32 MB", f"{control_room / state:,.0f} targets", "", "")
    yield _row(
        "changes over 1% of an entry's core",
        f"{BUDGET_CORE / (CHANGES_DAY / DAY_S) / read:,.0f} targets",
        "",
        "",
    )
    yield _row("link.max_links of an entry", "4,096 agents and entries", "", "")
    core = 1e6 / find_entry_task_us(slopes) * ENTRY_LOAD
    yield _row("an entry's core at 70%", f"{core:,.0f} tasks/s", "", "")


def _row(*cells: object) -> tuple[str, ...]:
    return tuple(f"{cell:,}" if isinstance(cell, int) else str(cell) for cell in cells)


def _share(core: float) -> str:
    return f"{core * 100:.2g}%" if core < 1 else f"{core:.1f} cores"


def _mb(size_bytes: float) -> str:
    return f"{size_bytes / 1e6:,.1f} MB"


def _number(value: float) -> str:
    return f"{value:,.0f}"
