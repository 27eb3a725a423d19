"""Checks the proof of acceptance by the trial environment before a production document is logged.

The proof depends on a key file, which may differ between replicas for a while. It is therefore
checked once, by the leader, and never when a log entry is applied.
"""

from hashlib import sha256
from pathlib import Path
from typing import NamedTuple

from apricotrail.document import sign_acceptance, verify_acceptance
from apricotrail.errors import ErrorKind, Problem
from apricotrail.settings import declare_setting
from apricotrail.wire.generated.ttypes import PutDocument

__all__ = ["PROMOTION_KEY_FILE", "TRIAL_ENVIRONMENT", "Promotion", "check_acceptance", "make_proof"]

PROMOTION_KEY_FILE = declare_setting(
    "control.promotion_key_file",
    "",
    "File with the keys that prove a trial's acceptance, one a line; the same everywhere.",
)
TRIAL_ENVIRONMENT = declare_setting(
    "control.trial_environment",
    "trial",
    "Name of the environment that documents are tried in; the only one that needs no acceptance.",
)


class Promotion(NamedTuple):
    """Rules by which this environment accepts documents.

    Attributes
    ----------
    environment : str
        Name of this environment.
    trial_environment : str
        Name of the trial environment.
    key_file : str
        Path of the file with the keys, empty for none.
    """

    environment: str
    trial_environment: str
    key_file: str

    @property
    def is_trial(self) -> bool:
        """Whether this is the trial environment, which needs no proof."""
        return self.environment == self.trial_environment


def check_acceptance(promotion: Promotion, put: PutDocument) -> Problem | None:
    """Return why a document may not be logged in this environment, or None."""
    if promotion.is_trial:
        return None
    if put.trial:
        message = f"{promotion.environment!r} is not the trial environment."
        return Problem(ErrorKind.REFUSED, message, f"Try it in {promotion.trial_environment!r}.")
    keys = _read_keys(promotion.key_file)
    if not keys:
        remedy = "Name a readable key file in control.promotion_key_file of both environments."
        return Problem(ErrorKind.SETTINGS, "There is no key to check an acceptance with.", remedy)
    digest = sha256(put.text or b"").digest()
    trial = promotion.trial_environment
    if any(verify_acceptance(key, trial, digest, put.acceptance or "") for key in keys):
        return None
    message = f"The environment {trial!r} has not accepted these exact bytes."
    remedy = f"Try the document in {trial!r} and promote it with the acceptance that this returns."
    return Problem(ErrorKind.REFUSED, message, remedy)


def make_proof(promotion: Promotion, put: PutDocument) -> str:
    """Return the proof that the trial environment accepted a document; empty without a key."""
    if not promotion.is_trial:
        return ""
    keys = _read_keys(promotion.key_file)
    digest = sha256(put.text or b"").digest()
    return sign_acceptance(keys[0], promotion.environment, digest) if keys else ""


def _read_keys(path: str) -> list[bytes]:
    if not path:
        return []
    try:
        lines = Path(path).read_bytes().splitlines()
    except OSError:
        return []
    return [line.strip() for line in lines if line.strip()]
