"""Shared-key proof of a link's two ends (HMAC, RFC 2104, over both nonces).

The key file holds one key a line. The first key signs, every key verifies, so keys can be replaced
without a stop: add the new key last everywhere, then move it first everywhere, then drop the old.
"""

import hmac
from hashlib import sha256
from pathlib import Path

from apricotrail.errors import ApricotrailError, ErrorKind, Problem
from apricotrail.settings import declare_setting
from apricotrail.wire._codec import encode_message
from apricotrail.wire.generated.ttypes import Identity

__all__ = ["KEY_FILE", "MIN_KEY_CHARACTERS", "NONCE_BYTES", "KeyRing"]

KEY_FILE = declare_setting(
    "link.key_file", "", "File with the shared keys of links, one a line; empty for no proof."
)

NONCE_BYTES = 16
MIN_KEY_CHARACTERS = 16


class KeyRing:
    """Keys of a file that may change while the process runs.

    Parameters
    ----------
    path : Path or None
        Key file; None for links without proof of identity.
    """

    def __init__(self, path: Path | None) -> None:
        self._path = path
        self._stamp: tuple[int, int] | None = None
        self._keys: list[bytes] = []

    def sign(self, own_nonce: bytes, peer_nonce: bytes, own: Identity) -> bytes:
        """Return the proof to send for this end."""
        return _digest(self._load()[0], own_nonce, peer_nonce, own)

    def verify(self, digest: bytes, own_nonce: bytes, peer_nonce: bytes, peer: Identity) -> bool:
        """Return whether the peer's proof was made with one of the keys, in constant time."""
        matches = [
            hmac.compare_digest(_digest(key, peer_nonce, own_nonce, peer), digest)
            for key in self._load()
        ]
        return any(matches)

    def _load(self) -> list[bytes]:
        if self._path is None:
            return [b""]
        try:
            status = self._path.stat()
            stamp = (status.st_mtime_ns, status.st_size)
            if stamp != self._stamp:
                self._keys = _parse_keys(self._path.read_bytes())
                self._stamp = stamp
        except OSError as error:
            if not self._keys:
                raise _key_error(f"The key file can't be read: {error}.") from error
        if not self._keys:
            raise _key_error("The key file holds no key.")
        return self._keys


def _parse_keys(text: bytes) -> list[bytes]:
    keys = [line.strip() for line in text.splitlines() if line.strip()]
    if any(len(key) < MIN_KEY_CHARACTERS for key in keys):
        raise _key_error(f"A key is shorter than {MIN_KEY_CHARACTERS} characters.")
    return keys


def _digest(key: bytes, own_nonce: bytes, peer_nonce: bytes, own: Identity) -> bytes:
    return hmac.digest(key, own_nonce + peer_nonce + encode_message(own), sha256)


def _key_error(message: str) -> ApricotrailError:
    remedy = "Name a readable file with one key of at least 16 characters a line in link.key_file."
    return ApricotrailError(Problem(ErrorKind.SETTINGS, message, remedy))
