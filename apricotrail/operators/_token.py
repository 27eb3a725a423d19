"""Bearer tokens of operators (RFC 6750), from a file that may change while the process runs."""

import hmac
from pathlib import Path

from returns.result import Failure, Result, Success

from apricotrail.errors import ErrorKind, Problem
from apricotrail.settings import declare_setting

__all__ = ["MIN_TOKEN_CHARACTERS", "TOKEN_FILE", "TokenFile"]

TOKEN_FILE = declare_setting(
    "operators.token_file",
    "",
    "File with the operators' tokens, one a line; without it every operator call is refused.",
)

MIN_TOKEN_CHARACTERS = 16
_SCHEME = "bearer"


class TokenFile:
    """Tokens of one file, one a line; any of them opens the operators' interface.

    Tokens are replaced without a stop: add the new one, hand it out, drop the old one.

    Parameters
    ----------
    path : Path or None
        The file, None if no token is set up.
    """

    def __init__(self, path: Path | None) -> None:
        self._path = path
        self._stamp: tuple[int, int] | None = None
        self._tokens: list[bytes] = []

    def check(self, authorization: str) -> Result[None, Problem]:
        """Check the value of an ``Authorization`` header in constant time.

        Returns
        -------
        Result
            Nothing, or a problem of kind ``unauthorised`` or ``settings``.
        """
        loaded = self._load()
        if isinstance(loaded, Failure):
            return loaded
        scheme, _, given = authorization.strip().partition(" ")
        offered = given.strip().encode(errors="replace")
        matches = [hmac.compare_digest(token, offered) for token in self._tokens]
        if scheme.lower() == _SCHEME and any(matches):
            return Success(None)
        remedy = "Send Authorization: Bearer with a token of the file operators.token_file."
        return Failure(Problem(ErrorKind.UNAUTHORISED, "The token is missing or wrong.", remedy))

    def _load(self) -> Result[None, Problem]:
        if self._path is None:
            message = "No operators' token is set up, so every call is refused."
            return Failure(
                Problem(ErrorKind.UNAUTHORISED, message, "Set operators.token_file on the entry.")
            )
        try:
            status = self._path.stat()
            stamp = (status.st_mtime_ns, status.st_size)
            if stamp != self._stamp:
                self._tokens = _parse_tokens(self._path.read_bytes())
                self._stamp = stamp
        except OSError as error:
            message = f"The operators' token file can't be read: {error.strerror}."
            return Failure(
                Problem(ErrorKind.SETTINGS, message, "Make operators.token_file readable.")
            )
        return Success(None)


def _parse_tokens(text: bytes) -> list[bytes]:
    lines = [line.strip() for line in text.splitlines()]
    return [line for line in lines if len(line) >= MIN_TOKEN_CHARACTERS]
