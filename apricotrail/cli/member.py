"""``apricotrail member``: the replicas of control."""

import json
from typing import Any
from urllib.parse import quote

from apricotrail.cli._exit_codes import ExitCode
from apricotrail.cli._operator_options import Session, change_command, read_command
from apricotrail.cli._output import print_table
from apricotrail.cli._things import describe_force

__all__ = ["add_member", "list_members", "promote_member", "remove_member"]


@read_command
async def list_members(session: Session) -> ExitCode:
    """List the replicas of control as its leader sees them."""
    return session.show(await session.read("/v1/admin/members"), _print_members)


@change_command
async def add_member(session: Session, name: str, address: str, identity: str) -> ExitCode:
    """Add a replica as a learner: it receives the log and counts in no quorum yet.

    Parameters
    ----------
    name
        Name of the replica.
    address
        Its link address, host:port.
    identity
        Identity of its data folder, which it logs at its start.
    """
    fields = {"name": name, "address": address, "identity": identity}
    result = await session.change("/v1/admin/members", json.dumps(fields).encode())
    return session.show(result, _print_change)


@change_command
async def promote_member(session: Session, name: str, identity: str) -> ExitCode:
    """Let a learner that has caught up count in quorums.

    Parameters
    ----------
    name
        Name of the replica.
    identity
        Identity of its data folder.
    """
    path = f"/v1/admin/members/{quote(name, safe='')}/{quote(identity, safe='')}/promote"
    return session.show(await session.change(path), _print_change)


@change_command
async def remove_member(session: Session, name: str, identity: str) -> ExitCode:
    """Remove a replica.

    Parameters
    ----------
    name
        Name of the replica.
    identity
        Identity of its data folder.
    """
    path = f"/v1/admin/members/{quote(name, safe='')}/{quote(identity, safe='')}"
    return session.show(await session.change(path, method="DELETE"), _print_change)


def _print_change(answer: Any) -> None:
    print(f"{answer['member']['name']}: done; {describe_force(answer)}")


def _print_members(answer: Any) -> None:
    members = answer["members"]
    headings = list(dict.fromkeys(key for member in members for key in member))
    print_table(headings, [[member.get(key) for key in headings] for member in members])
