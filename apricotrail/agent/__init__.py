"""The agent: the one gate in front of a target, beside it or hosted by an entry."""

from apricotrail.agent._application import make_agent, make_hosted_agent
from apricotrail.agent._parameters import GRANT_MS
from apricotrail.agent._records import RETENTION_S
from apricotrail.agent._target_agent import TargetAgent

__all__ = ["GRANT_MS", "RETENTION_S", "TargetAgent", "make_agent", "make_hosted_agent"]
