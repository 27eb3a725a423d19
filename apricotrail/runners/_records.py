"""What a gate remembers of runs that are over: their outcomes and the numbers that were used."""

from collections import OrderedDict

from apricotrail.runners._runs import RunKey
from apricotrail.wire.generated.ttypes import RunOutcome

__all__ = ["RunRecords"]

MAX_RECORDS = 8_192  # several minutes of a busy runner; the owners ask within seconds


class RunRecords:
    """Outcomes by run and the highest run number by task, the oldest forgotten first."""

    def __init__(self) -> None:
        self._outcomes: OrderedDict[RunKey, RunOutcome] = OrderedDict()
        self._numbers: OrderedDict[str, int] = OrderedDict()

    def remember(self, outcome: RunOutcome) -> None:
        """Keep an outcome for owners that ask for it again."""
        self._outcomes[outcome.task, outcome.run] = outcome
        while len(self._outcomes) > MAX_RECORDS:
            self._outcomes.popitem(last=False)

    def find_end(self, key: RunKey) -> RunOutcome | None:
        """Return the outcome of a run that is over, if it is known."""
        return self._outcomes.get(key)

    def note_number(self, task: str, run: int) -> None:
        """Note that the runner was ordered to start a run."""
        self._numbers[task] = run
        self._numbers.move_to_end(task)
        while len(self._numbers) > MAX_RECORDS:
            self._numbers.popitem(last=False)

    def highest_run(self, task: str) -> int:
        """Return the highest number ordered in this boot of the runner, 0 for none."""
        return self._numbers.get(task, 0)

    def forget_numbers(self) -> None:
        """Forget the numbers: a runner that starts again takes any."""
        self._numbers.clear()
