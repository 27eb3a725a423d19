"""Ejection of targets, learned run times, the retry budget and admission."""

from random import Random

from nose2.tools import params

from apricotrail.policy import (
    Admission,
    AdmissionRequest,
    RetryBudget,
    RunTimes,
    ServiceState,
    TargetHealth,
    backoff_ms,
)
from apricotrail.policy.admission import expected_response_ms
from apricotrail.settings import Settings

TARGETS = [f"t{n}" for n in range(10)]


def run(health, failing, rounds=20, now_ms=0.0):
    for _ in range(rounds):
        for name in TARGETS:
            if health.may_use(name, now_ms):
                health.note_start(name, now_ms)
                health.observe(name, "repair", name in failing, 5.0, now_ms)


@params(
    ("healthy", [], []),
    ("one broken target", ["t3"], ["t3"]),
    ("three of ten", TARGETS[:3], TARGETS[:3]),
    ("tasks that fail everywhere", TARGETS, []),
)
def test_ejection(_, failing, ejected):
    health = TargetHealth()
    run(health, failing)
    assert health.list_ejected() == ejected


def test_floor_stays_in_use():
    health = TargetHealth()
    run(health, [], rounds=5)
    run(health, TARGETS[:7], rounds=100)
    assert len(health.list_ejected()) == 5


def test_jobs_that_fail_everywhere_eject_nobody():
    health = TargetHealth()
    run(health, [])
    random = Random(1)
    for number in range(30):
        for name in random.sample(TARGETS, len(TARGETS)):
            for _ in range(100):
                health.observe(name, "repair", True, 5.0, 1.0, job=f"a/bad-{number}")
        run(health, [], rounds=1)
    assert health.list_ejected() == []


@params(("one task of each job", 1, 3), ("many tasks of each job", 5, 2))
def test_broken_target_is_ejected_after_few_jobs(_, tasks, expected):
    health = TargetHealth()
    run(health, [])
    jobs = 0
    while health.may_use("t0", 1.0):
        jobs += 1
        for _ in range(tasks):
            health.observe("t0", "repair", True, 1.0, 1.0, job=f"a/{jobs}")
    assert jobs == expected


def test_slow_target_is_detected_after_few_tasks_and_tried_again_later():
    health = TargetHealth()
    for number in range(2_000):
        run_ms = 50.0 * 20 ** ((number * 7 % 100) / 100)
        slow = 10.0 if number >= 1_000 and number % 10 == 0 else 1.0
        health.observe(TARGETS[number % 10], "repair", False, run_ms * slow, number)
    assert health.slowness("t0", 2_000.0) > 5
    assert all(0.4 < health.slowness(name, 2_000.0) < 2 for name in TARGETS[1:])
    assert health.slowness("t0", 62_000.0) < 2


def test_probe_is_single_and_backs_off():
    health = TargetHealth(Random(1))
    run(health, ["t0"])
    waits, now_ms = [], 0.0
    for _ in range(5):
        start_ms = now_ms
        while not health.may_use("t0", now_ms):
            now_ms += 10
        assert health.count_usable_slots("t0", 8, now_ms) == 1
        health.note_start("t0", now_ms)
        assert not health.may_use("t0", now_ms)
        health.observe("t0", "repair", True, 5.0, now_ms)
        waits.append(now_ms - start_ms)
    assert all(later > 1.5 * earlier for earlier, later in zip(waits[1:], waits[2:], strict=False))


def test_target_returns_after_successful_probes_and_flapping_backs_off():
    health = TargetHealth(Random(1))
    waits, now_ms = [], 0.0
    for _ in range(4):
        run(health, ["t0"], now_ms=now_ms)
        start_ms = now_ms
        while "t0" in health.list_ejected():
            now_ms += 10
            run(health, [], rounds=1, now_ms=now_ms)
        waits.append(now_ms - start_ms)
    assert waits == sorted(waits) and waits[-1] > 4 * waits[0]


@params((0.5, 100.0), (0.99, 4_000.0))
def test_percentiles(share, expected_ms):
    times = RunTimes()
    for number in range(1_000):
        times.observe("repair", 4_000.0 if number % 50 == 0 else 100.0, number)
    assert abs(times.percentile_ms("repair", share) / expected_ms - 1) < 0.06


def test_longest_of_many_tasks():
    times = RunTimes()
    for number in range(1_000):
        times.observe("repair", 4_000.0 if number % 50 == 0 else 100.0, number)
    assert abs(times.longest_ms("repair", 1) / 100 - 1) < 0.06
    assert abs(times.longest_ms("repair", 300) / 4_000 - 1) < 0.06


def test_run_times_follow_a_change_and_survive_long_times():
    times = RunTimes()
    for now_ms in range(0, 60_000, 100):
        times.observe("repair", 100.0, now_ms)
    for now_ms in range(10_000_000, 10_060_000, 100):
        times.observe("repair", 500.0, now_ms)
    assert abs(times.mean_ms("repair") - 500) < 1
    assert times.mean_ms("other", 7.0) == 7.0


def test_retry_budget_stops_a_storm():
    budget = RetryBudget(Settings({"policy.retry_burst": 50, "policy.retries_per_s": 10.0}))
    assert sum(budget.try_spend("repair", 0.0) for _ in range(1_000)) == 50
    assert sum(budget.try_spend("repair", 1_000.0) for _ in range(1_000)) == 10
    budget.note_start("repair", 100, 1_000.0)
    assert sum(budget.try_spend("repair", 1_000.0) for _ in range(1_000)) == 20


def test_backoff_is_bounded_and_spread():
    random = Random(1)
    waits = [backoff_ms(30, random) for _ in range(1_000)]
    assert max(waits) <= 1_000 and min(waits) < 100 < 900 < max(waits)


@params(
    ("idle", 10, 0, 0, True),
    ("queue that the deadline allows", 10, 500, 88, True),
    ("queue beyond the deadline", 10, 2_000, 88, False),
    ("more tasks than the queue may hold", 10, 99_995, 88, False),
)
def test_admission(_, tasks, queued, running, admitted):
    admission = Admission(Random(1))
    request = AdmissionRequest("repair", "shops", tasks, 5_000.0, 0.0)
    state = ServiceState(queued, 88, running, 300.0)
    assert bool(admission.decide(request, state).map(lambda _: True).value_or(False)) is admitted


@params(
    ("queue not crowded", 1_000, 900, True),
    ("crowded, team within its share", 60_000, 9_000, True),
    ("crowded, team beyond its share", 60_000, 11_000, False),
)
def test_quota_of_a_crowded_queue(_, queued, team_queued, admitted):
    state = ServiceState(queued, 88, 88, 1.0, team_queued, 0.1)
    request = AdmissionRequest("repair", "shops", 10, 60_000.0, 0.0)
    decision = Admission(Random(1)).decide(request, state)
    assert admitted or decision.failure().kind.value == "quota_exceeded"
    assert decision.map(lambda _: True).value_or(False) is admitted


@params(
    ("alone", ServiceState(0, 88, 0, 100.0), 100.0),
    ("tail", ServiceState(0, 88, 0, 100.0, tail_ms=900.0), 900.0),
    ("queue", ServiceState(88, 88, 88, 100.0), 300.0),
    ("queue shared with other entries", ServiceState(44, 88, 44, 100.0, busy=88, entries=3), 400.0),
    ("first task of this entry", ServiceState(0, 88, 0, 100.0, busy=88, entries=2), 200.0),
    ("other callers", ServiceState(44, 88, 88, 100.0, tasks_ahead=176.0), 400.0),
    ("no slot", ServiceState(44, 0, 0, 100.0), 0.0),
)
def test_expected_response(_, state, expected_ms):
    assert expected_response_ms(88, state) == expected_ms


def test_retry_after_is_spread():
    admission = Admission(Random(1))
    request = AdmissionRequest("repair", "shops", 10, 5_000.0, 0.0)
    waits = [
        admission.retry_after_ms(request, ServiceState(2_000, 88, 88, 300.0)) for _ in "x" * 99
    ]
    assert max(waits) > 1.8 * min(waits)
