"""Agents without a link, and when their runs count as lost."""

from apricotrail.membership import AGENT_LOST_AFTER_MS

__all__ = ["STILL_LISTED_MS", "UNLISTED_FOR_MS", "LostAgent"]

# An agent that lost its links to control, too, lets the lease lapse at most UNLISTED_FOR_MS after
# control stopped listing it. One that is still listed STILL_LISTED_MS after its last heartbeat
# finalises outcomes: it acknowledges them at the runner, and their tasks must not run again.
UNLISTED_FOR_MS = 400.0
STILL_LISTED_MS = 2_400.0


class LostAgent:
    """An agent without a link: when it was last heard, and since when control no longer lists it.

    If control still listed the agent `STILL_LISTED_MS` after it was last heard, its runs are never
    declared lost, except those of jobs that are answered: the agent may have finalised their
    outcomes. A link that the agent may not have seen changes nothing about that.
    """

    def __init__(self, heard_ms: float) -> None:
        self.heard_ms = self.first_heard_ms = heard_ms
        self.unlisted_ms: float | None = None
        self.may_have_finalised = False

    def note_listing(self, is_unlisted: bool, now_ms: float) -> None:
        """Record whether control is known to have lost the agent."""
        if not is_unlisted:
            self.unlisted_ms = None
            self.may_have_finalised = (
                self.may_have_finalised or now_ms - self.first_heard_ms >= STILL_LISTED_MS
            )
        elif self.unlisted_ms is None:
            self.unlisted_ms = now_ms

    def has_expired(self, now_ms: float) -> bool:
        """Return whether its runs have ended, so that outcomes not received are discarded."""
        return (
            not self.may_have_finalised
            and self.unlisted_ms is not None
            and now_ms - self.unlisted_ms >= UNLISTED_FOR_MS
            and now_ms - self.heard_ms >= AGENT_LOST_AFTER_MS
        )
