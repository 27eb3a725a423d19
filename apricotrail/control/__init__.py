"""Control: a replicated log and state machine that hold the configuration.

The configuration consists of documents, queues, zone and target states, entry views, hosts and the
members of the group itself.
"""

from apricotrail.control._application import Control, make_control
from apricotrail.control._operations import QueueOperations

__all__ = ["Control", "QueueOperations", "make_control"]
