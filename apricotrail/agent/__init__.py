"""The agent: decides which tasks start on one target, so that no task starts there twice.

An agent runs as a process beside its target or is hosted by an entry. It receives start messages
from entries, calls the target over HTTP and reports the outcomes.
"""

from apricotrail.agent._application import make_agent, make_hosted_agent
from apricotrail.agent._parameters import GRANT_MS
from apricotrail.agent._records import RETENTION_S
from apricotrail.agent._target_agent import TargetAgent

__all__ = ["GRANT_MS", "RETENTION_S", "TargetAgent", "make_agent", "make_hosted_agent"]
