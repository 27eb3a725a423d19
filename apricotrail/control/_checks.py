"""Reasons to refuse a proposed command, and problems of commands whose commit is not known."""

from apricotrail.control._members import apply_member_change, make_replica_id
from apricotrail.control._replica import ReplicaState
from apricotrail.control._replication import has_live_quorum
from apricotrail.errors import ErrorKind, Problem
from apricotrail.wire.generated.ttypes import ChangeMember, Command

__all__ = [
    "check_proposal",
    "make_replaced_problem",
    "make_stale_order_problem",
    "make_unknown_outcome_problem",
]


def check_proposal(
    replica: ReplicaState, command: Command, pending: int, max_pending: int
) -> Problem | None:
    """Return why this replica may not append `command` to the log now, or None if it may.

    Parameters
    ----------
    replica : ReplicaState
        Protocol state of this replica.
    command : Command
        Proposed command.
    pending, max_pending : int
        Number of commands in the log that are not yet committed, and its maximum.
    """
    if not replica.is_leader:
        return Problem(
            ErrorKind.NO_QUORUM, "This replica is not the leader.", "Send the change to the leader."
        )
    if replica.transfer is not None:
        message = "The leader is transferring its leadership."
        return Problem(ErrorKind.NO_QUORUM, message, "Retry within a second.")
    if pending >= max_pending:
        message = f"{pending} changes are not yet committed, which is the limit."
        return Problem(ErrorKind.OVERLOADED, message, "Retry in a second.")
    if command.change_member is not None:
        return _check_member_change(replica, command.change_member)
    return None


def make_replaced_problem() -> Problem:
    """Return the problem of a command whose entry was replaced by one of another leader."""
    message = "Another leader took over before the change was committed."
    return Problem(ErrorKind.NO_QUORUM, message, "Send it again under the same request id.")


def make_stale_order_problem() -> Problem:
    """Return the problem of an order that may be older than the last one on the same thing."""
    message = "A newer order may have been logged since this one came in; it was not carried out."
    return Problem(ErrorKind.STALE_CONFIGURATION, message, "Send it again if it is still wanted.")


def make_unknown_outcome_problem() -> Problem:
    """Return the problem of a command that may have been committed or may still be."""
    message = (
        "The replica stopped or lost the leadership before the change was known to be committed."
    )
    return Problem(ErrorKind.UNKNOWN_OUTCOME, message, "Send it again under the same request id.")


def _check_member_change(replica: ReplicaState, change: ChangeMember) -> Problem | None:
    if replica.commit_index < max(replica.log.member_change_index, replica.term_start_index):
        message = (
            "The last change of members or the start of the leader's term is not yet committed."
        )
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
    after = apply_member_change(replica.log.members, change)
    if change.action != "add_learner" and not has_live_quorum(replica, after):
        message = "Too few of the replicas that would be left answer to commit this change."
        remedy = "Retry; start the other replicas, or remove one that is lost first."
        return Problem(ErrorKind.NO_QUORUM, message, remedy)
    return None
