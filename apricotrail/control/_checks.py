"""Why a command is not logged, and problems of commands that were."""

from apricotrail.control._members import make_replica_id
from apricotrail.control._replica import ReplicaState
from apricotrail.errors import ErrorKind, Problem
from apricotrail.wire.generated.ttypes import ChangeMember, Command

__all__ = ["check_proposal", "overtaken", "unknown_outcome"]


def check_proposal(
    replica: ReplicaState, command: Command, pending: int, max_pending: int
) -> Problem | None:
    """Return why this replica may not log `command` now, or None.

    Parameters
    ----------
    replica : ReplicaState
        Protocol state.
    command : Command
        What is proposed.
    pending, max_pending : int
        Commands logged and not yet committed, and their bound.
    """
    if not replica.is_leader:
        return Problem(ErrorKind.NO_QUORUM, "This replica does not lead.", "Ask the leader.")
    if replica.transfer is not None:
        message = "The leader is handing over."
        return Problem(ErrorKind.NO_QUORUM, message, "Retry within a second.")
    if pending >= max_pending:
        message = f"{pending} changes wait to be committed."
        return Problem(ErrorKind.OVERLOADED, message, "Retry in a second.")
    if command.change_member is not None:
        return _check_member_change(replica, command.change_member)
    return None


def overtaken() -> Problem:
    """Return the problem of a command that another leader's entry replaced."""
    message = "Another leader took over before the change was committed."
    return Problem(ErrorKind.NO_QUORUM, message, "Send it again under the same request id.")


def unknown_outcome() -> Problem:
    """Return the problem of a command that may still be committed."""
    message = "The replica stopped leading before the change was committed."
    return Problem(ErrorKind.UNKNOWN_OUTCOME, message, "Send it again under the same request id.")


def _check_member_change(replica: ReplicaState, change: ChangeMember) -> Problem | None:
    if replica.commit_index < max(replica.log.change_index, replica.term_start_index):
        message = "Another change of members is not yet committed."
        return Problem(ErrorKind.CONFLICT, message, "Retry within a second.")
    replica_id = make_replica_id(change.name, change.identity)
    member = replica.log.members.get(replica_id)
    if change.action != "add_learner" and member is None:
        message = f"There is no replica {replica_id!r}."
        return Problem(ErrorKind.NOT_FOUND, message, "List the members and name one of them.")
    voters = [key for key, it in replica.log.members.items() if it.voter]
    if change.action == "remove" and voters == [replica_id]:
        message = f"{replica_id!r} is the only voter."
        return Problem(ErrorKind.REFUSED, message, "Add and promote another replica first.")
    return None
