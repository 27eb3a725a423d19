"""Digests of documents, and the proof that a trial environment accepted one.

The proof is an HMAC-SHA256 (RFC 2104, FIPS 180-4) over the environment and the digest, under a key
that the control replicas of both environments hold.
"""

import hmac
from hashlib import sha256

__all__ = ["digest_document", "sign_acceptance", "verify_acceptance"]

_PURPOSE = b"apricotrail document acceptance 1"
_PREFIX = "a1."


def digest_document(text: bytes) -> bytes:
    """Return the SHA-256 of a document's exact bytes."""
    return sha256(text).digest()


def sign_acceptance(key: bytes, environment: str, digest: bytes) -> str:
    """Return the proof that the trial `environment` accepted the document with `digest`.

    Examples
    --------
    >>> proof = sign_acceptance(b"key", "trial", digest_document(b"text"))
    >>> verify_acceptance(b"key", "trial", digest_document(b"text"), proof)
    True
    >>> verify_acceptance(b"key", "trial", digest_document(b"Text"), proof)
    False
    """
    name = environment.encode()
    content = b"".join((_PURPOSE, len(name).to_bytes(4), name, digest))
    return _PREFIX + hmac.digest(key, content, "sha256").hex()


def verify_acceptance(key: bytes, environment: str, digest: bytes, acceptance: str) -> bool:
    """Return whether `acceptance` is the proof for `digest`, in constant time."""
    expected = sign_acceptance(key, environment, digest)
    return hmac.compare_digest(expected.encode(), acceptance.encode(errors="replace"))
