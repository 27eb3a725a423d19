"""Parses and checks a submission: the body of ``POST /v1/jobs``, with which a caller creates a job.

This is the first stage of the pipeline: it checks only the form and the limits. Admission decides
whether the service exists and has capacity.
"""

import re
from hashlib import sha256
from typing import NamedTuple

import orjson
from returns.result import Failure, Result, Success

from apricotrail.errors import ErrorKind, Problem
from apricotrail.settings import Settings, declare_setting

__all__ = [
    "MAX_TASKS",
    "Submission",
    "SubmissionLimits",
    "make_job_key",
    "parse_submission",
    "read_limits",
    "read_uuid7_ms",
]

MAX_TASKS = declare_setting(
    "entry.max_tasks", 300, "Most tasks of one job.", minimum=1, maximum=10_000
)
MAX_TASK_BYTES = declare_setting(
    "entry.max_task_bytes", 1_048_576, "Largest body of one task.", unit="bytes", minimum=1
)
MAX_DEADLINE_MS = declare_setting(
    "entry.max_deadline_ms",
    300_000,
    "Longest deadline of a job; must be under the retention of claims, entry.retention_s.",
    unit="ms",
    minimum=100,
    maximum=900_000,
)
# For callers and submission ids; without a slash, which separates the two in a job key.
MAX_SHOWN_KEYS = 5
MAX_SHOWN_CHARACTERS = 100
_IDENTIFIER = re.compile(r"[A-Za-z0-9._~-]{1,128}")
_KNOWN_KEYS = frozenset(
    {"submission", "caller", "service", "deadline_ms", "tasks", "cancel_on_disconnect"}
)
_KNOWN_TASK_KEYS = frozenset({"body", "needs"})
_UUID7 = re.compile(r"([0-9a-f]{8})-([0-9a-f]{4})-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}")


class SubmissionLimits(NamedTuple):
    """Bounds on what a caller can send; sizes in bytes, times in milliseconds."""

    max_tasks: int
    max_task_bytes: int
    max_deadline_ms: int


class Submission(NamedTuple):
    """One submission of valid form; its service is not yet known to exist.

    Attributes
    ----------
    caller, submission : str
        Id of the caller, and id of the submission, which the caller chose and which is unique per
        caller.
    service : str
        Reference to a service as sent: ``scheme:name`` or a bare name.
    deadline_ms : int or None
        Time to answer in milliseconds; None for the service's default.
    bodies : tuple of bytes
        Task bodies in order, as UTF-8.
    slots_needed : int
        Most slots that one task asks for, at least 1; a hint, used only at admission to refuse
        a job if all targets are known to have fewer.
    cancel_on_disconnect : bool
        Whether a closed connection cancels the job; a sent value other than ``true`` means no.
    digest : bytes
        SHA-256 of service and task bodies; the same id with another digest is a conflict.
    """

    caller: str
    submission: str
    service: str
    deadline_ms: int | None
    bodies: tuple[bytes, ...]
    slots_needed: int
    cancel_on_disconnect: bool
    digest: bytes

    @property
    def job(self) -> str:
        """Key of the job, the same at every entry and agent: ``caller/submission``."""
        return make_job_key(self.caller, self.submission)


def make_job_key(caller: str, submission: str) -> str:
    """Return the key of the job that the submission with the id `submission` of `caller` creates.

    Examples
    --------
    >>> make_job_key("natal", "42")
    'natal/42'
    """
    return f"{caller}/{submission}"


def read_limits(settings: Settings) -> SubmissionLimits:
    """Return the limits that `settings` give."""
    return SubmissionLimits(
        settings.get(MAX_TASKS), settings.get(MAX_TASK_BYTES), settings.get(MAX_DEADLINE_MS)
    )


def read_uuid7_ms(identifier: str) -> int | None:
    """Return the Unix time in milliseconds inside a UUIDv7 (RFC 9562), None for other ids.

    Callers need not use UUIDv7; the time tells how old a submission is.

    Examples
    --------
    >>> read_uuid7_ms("017f22e2-79b0-7cc3-98c4-dc0c0c07398f")
    1645557742000
    """
    match = _UUID7.fullmatch(identifier.lower())
    return int(match.group(1) + match.group(2), 16) if match else None


def parse_submission(body: bytes, limits: SubmissionLimits) -> Result[Submission, Problem]:
    """Parse and check the body of ``POST /v1/jobs``.

    Parameters
    ----------
    body : bytes
        JSON as sent.
    limits : SubmissionLimits
        Bounds on the submission.

    Returns
    -------
    Result
        The submission, or the first problem found, of kind `MALFORMED` or `TOO_LARGE`.
    """
    try:
        value = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        return _malformed(f"The body is not JSON: {error}.", "Send one JSON object.")
    if not isinstance(value, dict):
        return _malformed("The body is not a JSON object.", "Send one JSON object.")
    unknown = sorted(set(value) - _KNOWN_KEYS)
    if unknown:
        shown = ", ".join(key[:MAX_SHOWN_CHARACTERS] for key in unknown[:MAX_SHOWN_KEYS])
        return _malformed(f"Unknown keys, among them {shown}.", "Remove or rename them.")
    for key in ("submission", "caller"):
        if not isinstance(value.get(key), str) or not _IDENTIFIER.fullmatch(value[key]):
            remedy = "Give 1 to 128 letters, digits, dots, hyphens, underscores or tildes."
            return _malformed(f"{key} is missing or not an identifier.", remedy)
    if not isinstance(value.get("service"), str) or not value["service"]:
        return _malformed("service is missing.", "Give a service as name or scheme:name.")
    deadline = value.get("deadline_ms")
    if deadline is not None and not _is_within(deadline, 1, limits.max_deadline_ms):
        remedy = f"Give an integer of milliseconds from 1 to {limits.max_deadline_ms}."
        return _malformed("deadline_ms is out of range.", remedy)
    return _parse_tasks(value.get("tasks"), limits).map(
        lambda tasks: Submission(
            value["caller"],
            value["submission"],
            value["service"],
            deadline,
            tasks[0],
            tasks[1],
            value.get("cancel_on_disconnect") is True,
            _compute_digest(value["service"], tasks[0]),
        )
    )


def _parse_tasks(
    tasks: object, limits: SubmissionLimits
) -> Result[tuple[tuple[bytes, ...], int], Problem]:
    """Return the task bodies and the most slots that one task asks for, or the first problem."""
    if not isinstance(tasks, list) or not tasks:
        return _malformed("tasks is missing or empty.", "Send a list of at least one task.")
    if len(tasks) > limits.max_tasks:
        message = f"{len(tasks)} tasks exceed the limit of {limits.max_tasks}."
        return Failure(Problem(ErrorKind.TOO_LARGE, message, "Split the job."))
    bodies = []
    slots_needed = 1
    for number, task in enumerate(tasks):
        if not isinstance(task, dict) or set(task) - _KNOWN_TASK_KEYS:
            return _malformed(f"Task {number} is not an object of body and needs.", "Correct it.")
        text = task.get("body")
        if not isinstance(text, str):
            return _malformed(f"The body of task {number} is not a string.", "Send a JSON string.")
        data = text.encode()
        if len(data) > limits.max_task_bytes:
            message = f"Task {number} has {len(data)} bytes, limit {limits.max_task_bytes}."
            return Failure(Problem(ErrorKind.TOO_LARGE, message, "Send a smaller body."))
        needs = task.get("needs") or {}
        if not isinstance(needs, dict) or not _is_within(needs.get("slots", 1), 1, 2**31):
            return _malformed(f"Task {number} has malformed needs.", 'Send {"slots": 1}.')
        slots_needed = max(slots_needed, needs.get("slots", 1))
        bodies.append(data)
    return Success((tuple(bodies), slots_needed))


def _compute_digest(service: str, bodies: tuple[bytes, ...]) -> bytes:
    digest = sha256(service.encode())
    for body in bodies:
        # The length makes the digest depend on how the bytes divide into tasks.
        digest.update(len(body).to_bytes(8, "big"))
        digest.update(body)
    return digest.digest()


def _is_within(value: object, low: int, high: int) -> bool:
    # A JSON true or false is no number, although bool is a subclass of int.
    return type(value) is int and low <= value <= high


def _malformed(message: str, remedy: str) -> Failure:
    return Failure(Problem(ErrorKind.MALFORMED, message, remedy))
