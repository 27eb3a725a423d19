"""Service-level burn: what each entry counts, the merged report, its table and its page."""

from apricotrail.reports._burn import (
    BurnReport,
    Cause,
    EntryCoverage,
    ServiceBurn,
    WindowBurn,
    find_burn_rate,
)
from apricotrail.reports._held import HeldReports
from apricotrail.reports._json import dump_report, load_report
from apricotrail.reports._merge import merge_reports
from apricotrail.reports._page import render_page
from apricotrail.reports._recorder import Objectives, SloRecorder
from apricotrail.reports._rings import WINDOWS, Window
from apricotrail.reports._table import format_report

__all__ = [
    "WINDOWS",
    "BurnReport",
    "Cause",
    "EntryCoverage",
    "HeldReports",
    "Objectives",
    "ServiceBurn",
    "SloRecorder",
    "Window",
    "WindowBurn",
    "dump_report",
    "find_burn_rate",
    "format_report",
    "load_report",
    "merge_reports",
    "render_page",
]
