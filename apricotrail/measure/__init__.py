"""Measuring the real roles: stand-in targets, seeded load, fault scripts and figures."""

from apricotrail.measure._deployment import DEPLOYMENTS, Deployment, write_document
from apricotrail.measure._figures import Figures, JobResult, make_figures, render_table
from apricotrail.measure._ideal import ideal_response_ms, ideal_work_ms
from apricotrail.measure._load import JobSpec, LoadShape, TaskSpec, make_load
from apricotrail.measure._run import RunPlan, run_plan
from apricotrail.measure._system import MeasuredSystem, start_system
from apricotrail.measure._target import (
    FaultMode,
    StandinTarget,
    make_answer,
    make_standin_target,
    make_task_body,
)
from apricotrail.measure.commands import MEASURE_COMMANDS

__all__ = [
    "DEPLOYMENTS",
    "Deployment",
    "FaultMode",
    "Figures",
    "JobResult",
    "JobSpec",
    "LoadShape",
    "MEASURE_COMMANDS",
    "MeasuredSystem",
    "RunPlan",
    "StandinTarget",
    "TaskSpec",
    "ideal_response_ms",
    "ideal_work_ms",
    "make_answer",
    "make_figures",
    "make_load",
    "make_standin_target",
    "make_task_body",
    "render_table",
    "run_plan",
    "start_system",
    "write_document",
]
