"""What the server tells callers it refuses, and what the client tells of failed exchanges."""

from apricotrail.errors import ErrorKind, Problem

__all__ = [
    "body_too_large",
    "broken_response",
    "cut_short",
    "handler_failed",
    "headers_too_large",
    "late",
    "malformed",
    "no_answer",
    "no_framing",
    "response_too_large",
    "too_busy",
    "too_many_bytes",
    "too_many_connections",
    "unsendable",
]

_SENT_REMEDY = "The request may have been carried out: ask under its id before sending another."


def headers_too_large(limit_bytes: int) -> Problem:
    """Headers over the server's limit."""
    message = f"The headers are over {limit_bytes} bytes."
    return Problem(ErrorKind.TOO_LARGE, message, "Send fewer or shorter headers.")


def body_too_large(limit_bytes: int) -> Problem:
    """A body over the server's limit."""
    message = f"The body is over {limit_bytes} bytes."
    return Problem(ErrorKind.TOO_LARGE, message, "Split the request into smaller ones.")


def malformed(message: str) -> Problem:
    """A request that is not HTTP/1.1 to a path."""
    remedy = "Send well-formed HTTP/1.1 with the path alone, as in GET /healthz HTTP/1.1."
    return Problem(ErrorKind.MALFORMED, message, remedy)


def late(part: str) -> Problem:
    """Headers or body that came too slowly."""
    message = f"The {part} of the request did not arrive in time."
    return Problem(ErrorKind.DEADLINE, message, "Send the request faster, or in smaller parts.")


def too_many_connections() -> Problem:
    """One connection over the server's limit."""
    remedy = "Close idle connections, or retry on another entry."
    return Problem(ErrorKind.OVERLOADED, "Too many open connections.", remedy)


def too_busy() -> Problem:
    """A request that came in time but could not be read, as others were read meanwhile."""
    message = "This listener has no time to read the request."
    remedy = "Nothing has run; send it again after Retry-After, in fewer and larger chunks."
    return Problem(ErrorKind.OVERLOADED, message, remedy)


def too_many_bytes() -> Problem:
    """An unfinished request that has to give way."""
    message = "This listener holds too many bytes of unfinished requests; this one was not handled."
    remedy = "Nothing has run; send it again after Retry-After, to another process if possible."
    return Problem(ErrorKind.OVERLOADED, message, remedy)


def handler_failed() -> Problem:
    """An exception in a handler."""
    remedy = "Retry under the same id; if it stays, report the log's event 1502."
    return Problem(ErrorKind.INTERNAL, "The request's handler failed.", remedy)


def no_answer() -> Problem:
    """A connection lost before any of an answer."""
    message = "The connection was closed after the request was sent and before any answer."
    return Problem(ErrorKind.UNKNOWN_OUTCOME, message, _SENT_REMEDY)


def cut_short() -> Problem:
    """A connection lost within an answer."""
    message = "The response was cut short."
    return Problem(ErrorKind.MALFORMED, message, _SENT_REMEDY)


def broken_response(error: Exception) -> Problem:
    """An answer that h11 refused."""
    message = f"The response is broken or cut short: {error}."
    return Problem(ErrorKind.MALFORMED, message, _SENT_REMEDY)


def no_framing() -> Problem:
    """An answer whose end is the end of the connection."""
    message = "The response has neither Content-Length nor chunks, so its end can't be checked."
    remedy = "Let the server send Content-Length. The request may have been carried out."
    return Problem(ErrorKind.MALFORMED, message, remedy)


def response_too_large(limit_bytes: int) -> Problem:
    """An answer over the limit."""
    message = f"The response is over {limit_bytes} bytes."
    remedy = "Raise the limit or answer with less. The request may have been carried out."
    return Problem(ErrorKind.TOO_LARGE, message, remedy)


def unsendable(error: Exception) -> Problem:
    """A request that h11 refused."""
    remedy = "Correct the method, path or headers; nothing was sent."
    return Problem(ErrorKind.UNREACHABLE, f"The request can't be sent: {error}.", remedy)
