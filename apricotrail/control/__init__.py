"""Replicated configuration: documents, zone and target states, views, hosts and members."""

from apricotrail.control._application import Control, make_control

__all__ = ["Control", "make_control"]
