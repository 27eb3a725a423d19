"""An agent's records of its runner: outcomes of runs, and the highest run number of each task.

The agent answers owners that ask again from the outcomes, and refuses starts with a number that is
not above the highest.
"""

from collections import OrderedDict

from apricotrail.runners._runs import RunKey
from apricotrail.wire.generated.ttypes import RunOutcome

__all__ = ["RunRecords"]

MAX_RECORDS = 8_192  # several minutes at a busy runner; owners ask again within seconds


class RunRecords:
    """Outcomes by run and highest run numbers by task; the oldest records are dropped first."""

    def __init__(self) -> None:
        self._outcomes: OrderedDict[RunKey, RunOutcome] = OrderedDict()
        self._highest_runs: OrderedDict[str, int] = OrderedDict()

    def add_outcome(self, outcome: RunOutcome) -> None:
        """Keep an outcome for owners that ask for it again."""
        self._outcomes[outcome.task, outcome.run] = outcome
        while len(self._outcomes) > MAX_RECORDS:
            self._outcomes.popitem(last=False)

    def find_outcome(self, key: RunKey) -> RunOutcome | None:
        """Return the outcome of an ended run, or None if it is not known."""
        return self._outcomes.get(key)

    def record_run_number(self, task: str, run: int) -> None:
        """Record the number of a run that the runner was ordered to start.

        Owners number the runs of a task upwards, and the gate refuses a start whose number is not
        above the recorded one.
        """
        self._highest_runs[task] = run
        self._highest_runs.move_to_end(task)
        while len(self._highest_runs) > MAX_RECORDS:
            self._highest_runs.popitem(last=False)

    def highest_run(self, task: str) -> int:
        """Return the highest run number ordered since the runner last booted, 0 for none."""
        return self._highest_runs.get(task, 0)

    def clear_run_numbers(self) -> None:
        """Forget the run numbers, since a runner accepts any number after a boot."""
        self._highest_runs.clear()
