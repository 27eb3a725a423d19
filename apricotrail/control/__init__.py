"""Replicated configuration: documents, zone and target states, views, hosts and members."""

from apricotrail.control._application import Control, make_control
from apricotrail.control._operations import QueueOperations

__all__ = ["Control", "QueueOperations", "make_control"]
