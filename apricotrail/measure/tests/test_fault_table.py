"""The fault table at the level of the policy: the model's entries and agents in virtual time."""

from nose2.tools import params

from apricotrail.measure._figures import make_figures
from apricotrail.measure._ideal import SlotChange, ideal_work_ms
from apricotrail.measure._load import JobSpec, LoadShape, TaskSpec, make_load
from apricotrail.measure._model import Model, ModelShape

DURATION_MS = 10_000.0
DRAIN_MS = 15_000.0
CALLERS = [(f"caller-{number}", f"team-{number % 3}") for number in range(6)]
SMALL = LoadShape(
    0.7,
    88,
    DURATION_MS,
    "service",
    CALLERS,
    run_ms=(50.0, 300.0),
    tasks=(1, 60),
    long_share=0.0,
    deadline_ms=8_000.0,
)
PIPA = 24


def run(faults, shape=SMALL, model_shape=None, jobs=None):
    """Run a load with faults, a list of (moment in ms, method of Model, arguments)."""
    model = Model(model_shape or ModelShape())
    jobs = jobs if jobs is not None else make_load(shape, seed=3)
    for at_ms, act in faults:
        model.schedule.after(at_ms, lambda act=act: act(model))
    model.run(jobs, DURATION_MS + DRAIN_MS)
    slots = [SlotChange(0.0, 88)]
    figures = make_figures(
        model.results, model.counts(), ideal_work_ms(jobs, slots, DURATION_MS), model.wasted
    )
    assert (figures.double_starts, figures.false_reports) == (0, 0)
    assert figures.jobs == len(jobs), "a job has no result"
    return model, figures


def mode(value, *names):
    return lambda model: model.set_modes(value, *names)


def zone(name, in_service):
    return lambda model: model.set_zone(name, in_service)


def kill_entry(model):
    model.entries[0].die()


ZONE_OUT_IN = [(3_000.0, zone("pipa", False)), (6_000.0, zone("pipa", True))]


@params(
    ("calm", [], 1.0, 3.0),
    ("black hole", [(2_000.0, mode("fail", "t1"))], 0.96, 3.5),
    ("two black holes", [(2_000.0, mode("fail", "t1", "t2"))], 0.92, 4.0),
    ("straggler", [(2_000.0, mode("slow", "t1"))], 1.0, 4.0),
    ("stalled target", [(2_000.0, mode("stall", "t1"))], 0.95, 4.0),
    ("zone out and in", ZONE_OUT_IN, 1.0, 8.0),
    ("zone flaps", ZONE_OUT_IN + [(6_500.0, zone("pipa", False))], 1.0, 10.0),
    ("worker death", [(2_000.0, mode("dead", "t1"))], 0.9, 4.0),
    ("entry death", [(5_000.0, kill_entry)], 0.9, 6.0),
    (
        "zone out and a worker dies",
        [*ZONE_OUT_IN, (4_000.0, mode("dead", "t0"))],
        0.9,
        12.0,
    ),
    (
        "black hole and an entry dies",
        [(2_000.0, mode("fail", "t1")), (5_000.0, kill_entry)],
        0.85,
        6.0,
    ),
)
def test_fault(_, faults, complete_share, worst_p95):
    _, figures = run(faults)
    assert figures.complete >= complete_share * figures.jobs
    assert figures.p95 <= worst_p95


def test_zone_out_moves_work_and_returns_at_once():
    model, figures = run(ZONE_OUT_IN, SMALL._replace(load_factor=1.2))
    moments = [(0.0, 88), (3_000.0, 88 - PIPA), (6_000.0, 88)]
    ideal = ideal_work_ms(
        make_load(SMALL._replace(load_factor=1.2), 3),
        [SlotChange(*moment) for moment in moments],
        DURATION_MS,
    )
    assert figures.starts_out_of_service == 0
    assert model.work_at(DURATION_MS) >= 0.93 * ideal
    started = [agent for agent in model.agents if agent.zone == "pipa"]
    assert all(agent.first_start_after(6_000.0) <= 7_000.0 for agent in started)


def test_overload_keeps_goodput_and_memory_bounded():
    shape = SMALL._replace(load_factor=3.0, deadline_ms=4_000.0)
    model, figures = run([], shape)
    good_ms = sum(result.work_ms for result in model.results if result.outcome == "complete")
    assert good_ms >= 0.85 * 88 * DURATION_MS
    assert figures.outcomes.get("deadline", 0) <= 0.1 * figures.complete
    assert figures.refused > 0


def burst(at_ms, jobs, tasks, caller="caller-0", deadline_ms=30_000.0, run_ms=100.0):
    return [
        JobSpec(
            f"burst-{number}",
            caller,
            "team-0",
            "service",
            at_ms,
            deadline_ms,
            [TaskSpec(run_ms, 0)] * tasks,
        )
        for number in range(jobs)
    ]


def test_burst_of_one_caller_leaves_the_others_their_shares():
    jobs = make_load(SMALL._replace(load_factor=0.3, callers=CALLERS[1:]), 3)
    model, _ = run([], jobs=sorted(jobs + burst(2_000.0, 30, 300), key=lambda job: job.at_ms))
    others = [result for result in model.results if "burst" not in result.job]
    assert all(result.outcome == "complete" for result in others)
    slow = [result for result in others if result.response_ms > 4 * result.ideal_ms]
    assert len(slow) <= 0.1 * len(others)


def test_wave_of_cancellations_frees_the_slots():
    def cancel_all(model):
        for entry in model.entries:
            for job in [job for job in entry.jobs if "burst" in job]:
                entry.cancel(job)

    later = burst(3_100.0, 1, 80, "caller-1")[0]._replace(submission="later")
    jobs = [*burst(2_900.0, 60, 300, run_ms=900.0), later]
    model, figures = run([(3_000.0, cancel_all)], jobs=jobs)
    assert figures.outcomes["cancelled"] == 60
    result = next(result for result in model.results if result.job.endswith("later"))
    assert result.response_ms <= 1.5 * 100.0


def test_wrong_hints_are_replaced_by_learned_times():
    shape = SMALL._replace(load_factor=0.5, run_ms=(400.0, 500.0))
    model, _ = run([], shape)
    learned = [entry.times.mean_ms("service") for entry in model.entries]
    assert all(400 <= value <= 500 for value in learned)


def test_flapping_target_backs_off():
    flaps = [
        (1_000.0 * number, mode("fail" if number % 2 else "ok", "t1")) for number in range(1, 9)
    ]
    _, figures = run(flaps)
    assert figures.failed <= 16


@params("late-binding", "power-of-two", "join-shortest", "random")
def test_every_placement_keeps_the_promises(placement):
    shape = ModelShape(placement=placement, offers=placement == "late-binding", report_ms=5_000.0)
    _, figures = run([], SMALL._replace(load_factor=0.4), shape)
    assert figures.complete == figures.jobs
