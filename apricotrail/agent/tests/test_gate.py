"""Ledger and start decisions without sockets: a table of refusals, then random schedules."""

from collections import Counter, defaultdict
from random import Random

from nose2.tools import params

from apricotrail.agent._gate import GateState, decide_starts
from apricotrail.agent._ledger import Ledger
from apricotrail.agent._records import AttemptId, LedgerLimits, Outcome
from apricotrail.agent._slots import Slots
from apricotrail.agent._target_configuration import TargetConfiguration
from apricotrail.wire.generated.ttypes import Reason, StartTasks, TaskStart, TaskState

IN_SERVICE = TargetConfiguration(known=True, zone_in_service=True)
OPEN = GateState("runner", 7, True, IN_SERVICE)
JOB = "school/1"


def make_start(job=JOB, task=0, attempt=1, epoch=1, incarnation=7, budget_ms=100, target="runner"):
    tasks = [TaskStart(task, attempt, b"")]
    return StartTasks(job, target, "entry-a", epoch, incarnation, budget_ms, tasks, 0)


class GateFixture:
    """Ledger, slots and gate state of one agent."""

    def __init__(self, state=OPEN, slots=1, **limits) -> None:
        self.state = state
        self.ledger = Ledger(LedgerLimits(**limits))
        self.slots = Slots(slots, grant_ms=50)
        self.now_ms = 0.0

    def receive(self, message, state=None):
        """Decide one start message; returns None if its task starts, else its (state, reason)."""
        decision = decide_starts(
            message, "entry-a", state or self.state, self.ledger, self.slots, self.now_ms
        )
        if decision.starts:
            return None
        return decision.outcomes[0][1].state, decision.outcomes[0][1].reason


REFUSED = (
    (OPEN._replace(fresh=False), {}, Reason.STALE_CONFIGURATION),
    (OPEN._replace(awaiting_earlier_host=True), {}, Reason.STALE_CONFIGURATION),
    (OPEN._replace(target_configuration=TargetConfiguration()), {}, Reason.UNKNOWN_TARGET),
    (OPEN._replace(target_configuration=TargetConfiguration(True, False)), {}, Reason.ZONE_OUT),
    (
        OPEN._replace(target_configuration=TargetConfiguration(True, True, True)),
        {},
        Reason.TARGET_LEAVING,
    ),
    (OPEN._replace(leaving=True), {}, Reason.TARGET_LEAVING),
    (OPEN._replace(stopping=True), {}, Reason.STOPPING),
    (OPEN._replace(sender_in_view=False), {}, Reason.FENCED),
    (OPEN, {"target": "other"}, Reason.UNKNOWN_TARGET),
    (OPEN, {"incarnation": 6}, Reason.WRONG_INCARNATION),
    (OPEN, {"budget_ms": 0}, Reason.EXPIRED),
    (OPEN, {"budget_ms": -5}, Reason.EXPIRED),
    (OPEN, {"epoch": 0}, Reason.FENCED),
)


@params(*REFUSED)
def test_refused_start_never_starts_later(state, fields, reason):
    fixture = GateFixture(state)
    fixture.ledger.claim(JOB, "entry-b", 1, 0)
    message = make_start(**fields)
    assert fixture.receive(message) == (TaskState.NOT_RUN, reason)
    assert fixture.receive(message, OPEN) == (TaskState.NOT_RUN, reason), "a late copy"
    assert fixture.receive(make_start(attempt=2), OPEN) is None, "a new attempt"


def test_full_target_refuses_for_good():
    fixture = GateFixture(slots=1)
    assert fixture.receive(make_start(task=0)) is None
    assert fixture.receive(make_start(task=1)) == (TaskState.NOT_RUN, Reason.FULL)
    fixture.slots.release("entry-a")
    assert fixture.receive(make_start(task=1)) == (TaskState.NOT_RUN, Reason.FULL)
    assert fixture.receive(make_start(task=1, attempt=2)) is None


@params(
    (None, (TaskState.RUNNING, Reason.SEEN), (TaskState.NOT_RUN, Reason.SEEN)),
    (TaskState.DONE, (TaskState.DONE, Reason.NONE), (TaskState.NOT_RUN, Reason.SEEN)),
    (TaskState.FAILED, (TaskState.FAILED, Reason.NONE), (TaskState.NOT_RUN, Reason.SEEN)),
    (TaskState.MAY_HAVE_RUN, (TaskState.MAY_HAVE_RUN, 0), (TaskState.NOT_RUN, Reason.SEEN)),
    (TaskState.NOT_RUN, (TaskState.NOT_RUN, Reason.NONE), None),
)
def test_copy_returns_the_state_and_new_attempt_starts_only_after_not_run(ended, copy, another):
    fixture = GateFixture(slots=4)
    assert fixture.receive(make_start()) is None
    if ended is not None:
        fixture.ledger.finish(JOB, AttemptId(0, 1), Outcome(ended), 0)
    assert fixture.receive(make_start()) == copy
    assert fixture.receive(make_start(attempt=2)) == another


def test_full_ledger_refuses_starts_and_keeps_its_records():
    fixture = GateFixture(slots=1_000, records=100, retention_ms=1_000)
    messages = [make_start(job=f"school/{number}") for number in range(300)]
    results = [fixture.receive(message) for message in messages]
    assert results.count(None) == 50
    assert set(results[50:]) == {(TaskState.NOT_RUN, Reason.LEDGER_FULL)}
    assert len(fixture.ledger) == 100
    for number in range(50):
        done = Outcome(TaskState.DONE, answer=b"")
        fixture.ledger.finish(f"school/{number}", AttemptId(0, 1), done, 0)
    fixture.now_ms = 999
    fixture.ledger.expire(fixture.now_ms)
    assert len(fixture.ledger) == 100
    fixture.now_ms = 1_001
    fixture.ledger.expire(fixture.now_ms)
    assert len(fixture.ledger) == 0
    assert fixture.receive(make_start(job="school/new")) is None
    copies = {fixture.receive(message) for message in messages[51:]}
    assert copies == {(TaskState.NOT_RUN, Reason.SEEN)}, "refused earlier without a ledger record"


def test_running_attempts_outlive_the_retention_window():
    fixture = GateFixture(retention_ms=1_000)
    assert fixture.receive(make_start()) is None
    for fixture.now_ms in (2_000, 4_000, 6_000):
        fixture.ledger.expire(fixture.now_ms)
    assert fixture.receive(make_start(attempt=2)) == (TaskState.NOT_RUN, Reason.SEEN)


def test_answers_are_kept_within_time_and_bytes():
    ledger = Ledger(LedgerLimits(answer_keep_ms=100, answer_keep_bytes=10))
    ledger.claim(JOB, "entry-a", 1, 0)
    for task in range(4):
        ledger.begin(JOB, AttemptId(task, 1), 0)
        ledger.finish(JOB, AttemptId(task, 1), Outcome(TaskState.DONE, answer=b"12345"), task)
    kept = [outcome.answer for _, outcome in ledger.attempts(JOB)]
    assert kept == [None, None, b"12345", b"12345"]
    assert ledger.answer_bytes == 10
    ledger.expire(102)
    states = {(outcome.state, outcome.reason) for _, outcome in ledger.attempts(JOB)[:3]}
    assert states == {(TaskState.MAY_HAVE_RUN, Reason.EXPIRED)}
    ledger.begin(JOB, AttemptId(9, 1), 200)
    ledger.finish(JOB, AttemptId(9, 1), Outcome(TaskState.DONE, answer=b"a" * 99), 200)
    assert (
        ledger.find(JOB, AttemptId(9, 1)).answer == b"a" * 99
    ), "the newest answer is kept, whatever its size"


def test_stopped_job_starts_no_more_until_a_higher_epoch():
    fixture = GateFixture(slots=9)
    assert fixture.receive(make_start()) is None
    fixture.ledger.cancel_job(JOB)
    assert fixture.receive(make_start(task=1)) == (TaskState.NOT_RUN, Reason.CANCELLED)
    assert fixture.receive(make_start(task=2, epoch=2)) is None
    assert fixture.receive(make_start(task=3, epoch=1)) == (TaskState.NOT_RUN, Reason.FENCED)


GATE_STATES = (
    OPEN,
    OPEN._replace(fresh=False),
    OPEN._replace(target_configuration=TargetConfiguration(True, False)),
    OPEN._replace(stopping=True),
)
RETENTION_MS = 400
JOB_MS = 200
MESSAGE_MS = 150
SEEDS = 150
STEPS = 200


class Schedule:
    """Random messages of a few jobs: late, repeated and out of order; checked at each step.

    Messages are delivered within less than the retention window, as on links; the jobs change with
    time.
    """

    def __init__(self, seed) -> None:
        self.random = Random(seed)
        limits = {"records": 16, "retention_ms": RETENTION_MS, "answer_keep_ms": 20}
        self.fixture = GateFixture(slots=3, **limits)
        self.sent = []
        self.attempts = Counter()
        self.running = []
        self.ended = defaultdict(set)
        self.refused = set()
        self.fences = Counter()
        self.starts = 0

    def step(self):
        kinds = (self.send, self.deliver, self.deliver, self.finish, self.resolve, self.fence)
        self.random.choice((*kinds, self.change_gate, self.pass_time))()

    def job(self):
        return f"{int(self.fixture.now_ms / JOB_MS)}/{self.random.randrange(2)}"

    def send(self):
        job, task = self.job(), self.random.randrange(2)
        self.attempts[(job, task)] += 1
        incarnation = self.random.choice((7, 7, 7, 6))
        epoch = self.random.randrange(3)
        message = make_start(job, task, self.attempts[(job, task)], epoch, incarnation)
        self.sent.append((self.fixture.now_ms, message))

    def pick_message(self):
        oldest_ms = self.fixture.now_ms - MESSAGE_MS
        self.sent = [(at_ms, message) for at_ms, message in self.sent if at_ms > oldest_ms]
        return self.random.choice(self.sent)[1] if self.sent else None

    def deliver(self):
        message = self.pick_message()
        if message is None:
            return
        key = (message.job, message.tasks[0].task, message.tasks[0].attempt)
        result = self.fixture.receive(message)
        if result is not None:
            self.record_reported_state(key, message.agent_incarnation, result[0])
            return
        assert self.fixture.state == OPEN
        assert message.agent_incarnation == OPEN.incarnation
        assert message.epoch >= self.fences[message.job]
        assert key not in self.refused
        assert all(other[:2] != key[:2] for other in self.running)
        assert self.ended[key[:2]] <= {TaskState.NOT_RUN}
        self.running.append(key)
        self.starts += 1

    def record_reported_state(self, key, incarnation, state):
        if state == TaskState.NOT_RUN and incarnation == OPEN.incarnation:
            assert key not in self.running
            self.refused.add(key)

    def finish(self):
        if not self.running:
            return
        job, task, attempt = self.running.pop(self.random.randrange(len(self.running)))
        state = self.random.choice((TaskState.DONE, TaskState.NOT_RUN, TaskState.MAY_HAVE_RUN))
        outcome = Outcome(state, answer=b"a" if state == TaskState.DONE else None)
        assert self.fixture.ledger.finish(
            job, AttemptId(task, attempt), outcome, self.fixture.now_ms
        )
        self.fixture.slots.release("entry-a")
        self.ended[(job, task)].add(state)

    def resolve(self):
        message = self.pick_message()
        if message is None:
            return
        attempt_id = AttemptId(message.tasks[0].task, message.tasks[0].attempt)
        ledger, now_ms = self.fixture.ledger, self.fixture.now_ms
        known = ledger.find(message.job, attempt_id)
        if known is None:
            known = ledger.refuse(message.job, attempt_id, Reason.NONE, now_ms)
        self.record_reported_state((message.job, *attempt_id), OPEN.incarnation, known.state)

    def fence(self):
        job, epoch = self.job(), self.random.randrange(3)
        if self.fixture.ledger.claim(job, "entry-b", epoch, self.fixture.now_ms, use_reserve=True):
            self.fences[job] = max(epoch, self.fences[job])

    def change_gate(self):
        self.fixture.state = self.random.choice((OPEN, OPEN, *GATE_STATES))

    def pass_time(self):
        self.fixture.now_ms += self.random.randrange(40)
        self.fixture.ledger.expire(self.fixture.now_ms)


def test_no_schedule_starts_a_task_twice_or_after_its_refusal():
    starts = 0
    for seed in range(SEEDS):
        schedule = Schedule(seed)
        for _ in range(STEPS):
            schedule.step()
            assert len(schedule.fixture.ledger) <= 16 * 1.25 + 1, f"seed {seed}"
        starts += schedule.starts
    assert starts > SEEDS, "the schedules start too few tasks"
