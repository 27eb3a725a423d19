"""``apricotrail target``: list, leave, return."""

from typing import Any
from urllib.parse import quote, urlencode

from apricotrail.cli._exit_codes import ExitCode
from apricotrail.cli._operator_options import Session, change_command, read_command
from apricotrail.cli._output import print_table
from apricotrail.cli._things import describe_force, first_name, list_names, list_schemes

__all__ = ["let_target_return", "list_targets", "make_target_leave", "print_targets"]


@read_command
async def list_targets(session: Session, *, zone: str = "", service: str = "") -> ExitCode:
    """List targets under all their names, and announced ones that the document does not know.

    Parameters
    ----------
    zone
        Only those of this zone.
    service
        Only those of this service.
    """
    wanted = {key: name for key, name in (("zone", zone), ("service", service)) if name}
    query = f"?{urlencode(wanted)}" if wanted else ""
    return session.show(await session.read(f"/v1/admin/targets{query}"), _print_answer)


@change_command
async def make_target_leave(session: Session, target: str) -> ExitCode:
    """Make a target leave: it receives no new task and finishes what runs.

    Parameters
    ----------
    target
        Name of the target, bare or as scheme:name.
    """
    return await _set_state(session, target, "leave")


@change_command
async def let_target_return(session: Session, target: str) -> ExitCode:
    """Let a target that was told to leave take tasks again.

    Parameters
    ----------
    target
        Name of the target, bare or as scheme:name.
    """
    return await _set_state(session, target, "return")


def print_targets(targets: list[dict[str, Any]]) -> None:
    """Print known targets as a table."""
    schemes = list_schemes(targets)
    rows = [
        [
            *list_names(target, schemes),
            first_name(target["zone"]),
            target["state"],
            target.get("slots"),
            target.get("free_slots"),
            target["host"],
        ]
        for target in targets
    ]
    print_table([*schemes, "zone", "state", "slots", "free", "host"], rows)


async def _set_state(session: Session, target: str, verb: str) -> ExitCode:
    result = await session.change(f"/v1/admin/targets/{quote(target, safe='')}/{verb}")
    return session.show(result, _print_state)


def _print_state(answer: Any) -> None:
    target = answer["target"]
    state = "leaving" if target["leaving"] else "no longer leaving"
    print(f"{' / '.join(target['names'].values())} is {state}; {describe_force(answer)}")


def _print_answer(answer: Any) -> None:
    print_targets(answer["targets"])
    if answer["unknown"]:
        print("\nAnnounced, but not in the document (they receive no task):")
        rows = [[it["reference"], it["address"], it["slots"]] for it in answer["unknown"]]
        print_table(["reference", "address", "slots"], rows)
