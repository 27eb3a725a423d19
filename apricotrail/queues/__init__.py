"""Queues: admits jobs, places their tasks on leased runners with free capacity, retries tasks."""

from apricotrail.queues._application import QueueDispatcher
from apricotrail.queues._document import Queue, QueueTable, make_queue_items
from apricotrail.queues._jobs import JobAnswer, JobRequest, JobState, Step
from apricotrail.queues._starts import TASKS_PER_PASS

__all__ = [
    "TASKS_PER_PASS",
    "JobAnswer",
    "JobRequest",
    "JobState",
    "Queue",
    "QueueDispatcher",
    "QueueTable",
    "Step",
    "make_queue_items",
]
