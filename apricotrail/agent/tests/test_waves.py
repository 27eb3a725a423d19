"""Mass cancellations, large answers and failing runs, without sockets."""

import asyncio
import sys

from nose2.tools import params

from apricotrail.agent._agent import Agent
from apricotrail.agent._callbacks import AgentCallbacks
from apricotrail.agent._gate import GateState
from apricotrail.agent._outbox import MAX_BATCH_BYTES
from apricotrail.agent._records import LedgerLimits, Outcome
from apricotrail.agent._target_configuration import TargetConfiguration
from apricotrail.clocks import VirtualClock
from apricotrail.wire.generated.ttypes import (
    Reason,
    StartTasks,
    StopTasks,
    TaskOutcomes,
    TaskStart,
    TaskState,
)

OPEN = GateState("runner", 1, True, TargetConfiguration(True, True))


def make_recording_agent(run_task, slots):
    sent = []

    async def stop_task(job, task):
        return None

    def send(entry, message):
        sent.append(message)
        return True

    callbacks = AgentCallbacks(
        send, lambda f: asyncio.get_running_loop().call_soon(f), run_task, stop_task, lambda: OPEN
    )
    return Agent(callbacks, slots, 50, LedgerLimits(), VirtualClock()), sent


def make_start(count):
    tasks = [TaskStart(task, 1, b"") for task in range(count)]
    return StartTasks("school/1", "runner", "entry-a", 1, 1, 1_000, tasks, 0)


async def count_calls_to_cancel(count, tasks):
    async def wait_forever(job, start, budget_ms):
        await asyncio.get_running_loop().create_future()

    agent, sent = make_recording_agent(wait_forever, count)
    agent.start_tasks("entry-a", make_start(count))
    await asyncio.sleep(0)
    calls = 0

    def profile(frame, event, argument):
        nonlocal calls
        calls += event in ("call", "c_call")

    sys.setprofile(profile)
    agent.stop_tasks(StopTasks("school/1", "runner", 1, tasks))
    await agent.runs.wait_until_idle()
    sys.setprofile(None)
    await asyncio.sleep(0)
    outcomes = [outcome for message in sent for outcome in message.outcomes]
    assert len(outcomes) == count
    assert {(o.state, o.reason) for o in outcomes} == {(TaskState.MAY_HAVE_RUN, Reason.CANCELLED)}
    assert agent.slots.running == 0
    return calls


@params("named", "all")
def test_cost_per_cancellation_is_the_same_for_ten_thousand_tasks(form):
    per_task = []
    for count in (1_000, 10_000):
        tasks = list(range(count)) if form == "named" else []
        per_task.append(asyncio.run(count_calls_to_cancel(count, tasks)) / count)
    assert per_task[1] < 1.01 * per_task[0], per_task


def test_long_answers_are_split_into_messages():
    async def answer(job, start, budget_ms):
        return Outcome(TaskState.DONE, answer=b"a" * 1_000_000)

    async def run():
        agent, sent = make_recording_agent(answer, 10)
        agent.start_tasks("entry-a", make_start(10))
        await agent.runs.wait_until_idle()
        await asyncio.sleep(0)
        return sent

    sent = asyncio.run(run())
    sizes = [sum(len(o.answer) for o in m.outcomes) for m in sent if isinstance(m, TaskOutcomes)]
    assert sum(sizes) == 10_000_000
    assert max(sizes) <= MAX_BATCH_BYTES


def test_failing_run_frees_its_slot():
    async def fail(job, start, budget_ms):
        raise RuntimeError("boom")

    async def run():
        agent, sent = make_recording_agent(fail, 1)
        agent.start_tasks("entry-a", make_start(1))
        await agent.runs.wait_until_idle()
        await asyncio.sleep(0)
        return agent.slots.running, sent[0].outcomes[0].state

    assert asyncio.run(run()) == (0, TaskState.MAY_HAVE_RUN)
