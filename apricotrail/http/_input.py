"""What a connection has received and its server has not handled: input, parser and body so far.

Input goes to the parser in small pieces, so that it holds little and nearly all that a connection
holds is counted here. Each step has a cost in units of `ReadTurns`.
"""

import h11

__all__ = ["ANSWER_UNITS", "BYTES_PER_UNIT", "RequestInput"]

PIECE_BYTES = 4_096
# Cost of a step besides one unit for each event of the parser.
HEAD_UNITS = 1
HEAD_BYTES_PER_UNIT = 64
TRAILERS_PER_UNIT = 4
ANSWER_UNITS = 2
BYTES_PER_UNIT = 1_024  # of a body or an answer

Event = h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]


class RequestInput:
    """Input of one connection.

    Parameters
    ----------
    parser : h11.Connection
        Server side of the connection.
    """

    def __init__(self, parser: h11.Connection) -> None:
        self._parser = parser
        self._received = bytearray()
        self._needs_data = True
        self._head_bytes = 0
        self._body = bytearray()

    @property
    def waiting_bytes(self) -> int:
        """Bytes that wait for the parser."""
        return len(self._received)

    @property
    def parsed_bytes(self) -> int:
        """Bytes held of the request that is being parsed."""
        return self._head_bytes + len(self._body)

    def add(self, data: bytes) -> None:
        """Add what was received."""
        self._received += data

    def has_more(self) -> bool:
        """Return whether the parser may have a further event."""
        return bool(self._received) or not self._needs_data

    def next_event(self) -> tuple[Event, int]:
        """Return the parser's next event and its cost.

        Raises
        ------
        h11.RemoteProtocolError
            If the input is no HTTP/1.1.
        """
        if self._needs_data:
            piece = bytes(self._received[:PIECE_BYTES])
            del self._received[:PIECE_BYTES]
            self._parser.receive_data(piece)
            self._head_bytes += len(piece)
        event = self._parser.next_event()
        self._needs_data = event is h11.NEED_DATA or event is h11.PAUSED
        if self._needs_data:
            return event, 0
        if type(event) is h11.Request:
            cost = HEAD_UNITS + self._head_bytes // HEAD_BYTES_PER_UNIT
        elif type(event) is h11.EndOfMessage:
            cost = len(event.headers) // TRAILERS_PER_UNIT
        else:
            cost = 1
        self._head_bytes = 0  # what the parser still holds is less than a piece
        return event, cost

    def add_body(self, data: bytes, limit_bytes: int) -> bool:
        """Add to the body; returns False if it would be over the limit."""
        if len(self._body) + len(data) > limit_bytes:
            return False
        self._body += data
        return True

    def take_body(self) -> bytes:
        """Return the body, which is not held here any more."""
        body, self._body = bytes(self._body), bytearray()
        return body

    def drop(self) -> None:
        """Drop everything."""
        self._received, self._body = bytearray(), bytearray()
        self._head_bytes = 0
