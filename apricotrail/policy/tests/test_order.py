"""The fair queue: shares, order within a caller, bounded overtaking, cancellation."""

from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st
from nose2.tools import params

from apricotrail.policy import FairQueue, QueuedJob

FAR_MS = 1e9


def job(
    name, tasks, *, caller="a", team="shops", share=1.0, now_ms=0.0, deadline_ms=FAR_MS, cost=1
):
    return QueuedJob(name, caller, team, share, range(tasks), now_ms, deadline_ms, cost)


def fill(*jobs):
    queue = FairQueue()
    for queued in jobs:
        queue.add(queued)
    return queue


def taken_by_job(queue, count, now_ms=1.0):
    return Counter({taken.job: len(taken.tasks) for taken in queue.take(count, now_ms)})


@params(
    ("callers share evenly", [job("a", 50), job("b", 50, caller="b")], 20, {"a": 10, "b": 10}),
    (
        "teams share by weight",
        [job("a", 50, share=3.0), job("b", 50, caller="b", team="schools", share=1.0)],
        40,
        {"a": 30, "b": 10},
    ),
    (
        "an unused share goes to the others",
        [job("a", 50, share=3.0), job("b", 2, caller="b", team="schools", share=9.0)],
        20,
        {"a": 18, "b": 2},
    ),
    ("fewest unfinished tasks first", [job("a", 50), job("b", 3)], 5, {"b": 3, "a": 2}),
    (
        "a job is overtaken only for a bounded time",
        [job("a", 50), job("b", 3, now_ms=501.0)],
        5,
        {"a": 5},
    ),
    (
        "long tasks are charged their cost",
        [job("a", 50, cost=10.0), job("b", 50, caller="b", cost=1.0)],
        22,
        {"a": 2, "b": 20},
    ),
    ("expired jobs do not start", [job("a", 5, deadline_ms=0.5), job("b", 5)], 10, {"b": 5}),
)
def test_take(_, jobs, count, expected):
    assert taken_by_job(fill(*jobs), count) == expected


def test_job_with_fewer_unfinished_tasks_goes_first():
    queue = fill(job("a", 30), job("b", 20))
    queue.note_progress("a", 3)
    assert taken_by_job(queue, 2) == {"a": 2}


def test_put_back_keeps_order_and_charge():
    queue = fill(job("a", 4), job("b", 4, caller="b"))
    first = queue.take(2, 1.0)
    for taken in first:
        assert queue.put_back(taken.job, taken.tasks)
    assert queue.take(2, 1.0) == first
    queue.cancel("a")
    assert not queue.put_back("a", [0])
    assert queue.count_queued_tasks_by_caller() == {"b": 3}


def test_new_caller_does_not_wait_behind_a_long_queue():
    queue = fill(job("a", 10_000))
    queue.take(5_000, 1.0)
    queue.add(job("b", 1, caller="b", now_ms=2.0))
    assert "b" in taken_by_job(queue, 2)


def test_wave_of_cancellations():
    queue = fill(*(job(f"{n}", 4, caller=f"c{n % 50}") for n in range(10_000)))
    assert sum(queue.cancel(f"{n}") for n in range(0, 10_000)) == 40_000
    assert (
        len(queue) == 0 and queue.take(5, 1.0) == [] and queue.count_queued_tasks_by_caller() == {}
    )
    queue.add(job("new", 1))
    assert taken_by_job(queue, 5) == {"new": 1}


@params(
    ("empty queue", [], 10, 0),
    ("own tasks", [job("a", 5)], 10, 5),
    ("another caller shares evenly", [job("b", 50, caller="b")], 10, 10),
    ("short queue", [job("b", 1, caller="b")], 100, 4),
    ("another team has a third", [job("b", 50, caller="b", team="t", share=0.5)], 10, 5),
)
def test_tasks_ahead(_, jobs, tasks, expected):
    assert fill(*jobs).tasks_ahead("a", "shops", 1.0, tasks) == expected


def test_second_add_of_a_job_is_refused():
    queue = fill(job("a", 1))
    try:
        queue.add(job("a", 1))
    except ValueError as error:
        assert "put its tasks back" in str(error)
    else:
        raise AssertionError("the second add was accepted")


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["add", "take", "back", "cancel", "progress", "expire"]),
        st.integers(0, 9),
        st.integers(1, 8),
    ),
    max_size=60,
)


@settings(derandomize=True, deadline=None, max_examples=150)
@given(STEPS)
def test_no_task_is_lost_or_taken_twice(steps):
    queue, queued, started, now_ms = FairQueue(), {}, {}, 0.0
    for kind, number, count in steps:
        name, now_ms = f"j{number}", now_ms + 1
        if kind == "add" and name not in queued:
            queue.add(job(name, count, caller=f"c{number % 3}", team=f"t{number % 2}"))
            queued[name], started[name] = set(range(count)), set()
        elif kind == "take":
            for taken in queue.take(count, now_ms):
                assert set(taken.tasks) <= queued[taken.job]
                queued[taken.job] -= set(taken.tasks)
                started[taken.job] |= set(taken.tasks)
        elif kind == "back" and started.get(name):
            queue.put_back(name, sorted(started[name]))
            queued[name] |= started[name]
            started[name] = set()
        elif kind == "cancel":
            assert queue.cancel(name) == len(queued.pop(name, ()))
            started.pop(name, None)
        elif kind == "progress" and name in queued:
            queue.note_progress(name, count)
        assert len(queue) == sum(len(tasks) for tasks in queued.values())
        assert sum(queue.count_queued_tasks_by_caller().values()) == len(queue)
    left = queue.take(10_000, now_ms)
    assert {taken.job: set(taken.tasks) for taken in left} == {k: v for k, v in queued.items() if v}
