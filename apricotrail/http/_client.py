"""The calling side: pooled connections, deadlines, and outcomes that say what is known."""

import asyncio
from collections.abc import Callable

from returns.result import Failure, Result

from apricotrail.clocks import Clock, monotonic_ms
from apricotrail.errors import ErrorKind, Problem
from apricotrail.http._exchange import ClientConnection
from apricotrail.http._limits import ClientLimits
from apricotrail.http._messages import Response
from apricotrail.http._pool import ConnectionPool

__all__ = ["HttpClient"]

MAX_IDLE_POOLS = 256


def _always() -> bool:
    return True


class HttpClient:
    """HTTP/1.1 client (RFC 9112) that never sends a request twice.

    Parameters
    ----------
    limits : ClientLimits, optional
        Bounds on connections and answers.
    clock : Clock
        Monotonic time in milliseconds.
    """

    def __init__(self, limits: ClientLimits | None = None, clock: Clock = monotonic_ms) -> None:
        self._limits = limits or ClientLimits()
        self._clock = clock
        self._pools: dict[str, ConnectionPool] = {}

    async def request(
        self,
        method: str,
        address: str,
        path: str,
        body: bytes = b"",
        headers: tuple[tuple[str, str], ...] = (),
        timeout_ms: float = 10_000,
        max_answer_bytes: int | None = None,
        may_send: Callable[[], bool] = _always,
    ) -> Result[Response, Problem]:
        """Send one request and wait for its whole response.

        Parameters
        ----------
        method : str
            Method in upper case.
        address : str
            Server as ``host:port``.
        path : str
            Path and query, percent-encoded.
        body : bytes
            Whole body.
        headers : tuple of (str, str)
            Headers besides ``Host`` and ``Content-Length``.
        timeout_ms : float
            Time for everything, connecting included, in milliseconds.
        max_answer_bytes : int, optional
            Largest response body; by default the client's limit.
        may_send : callable
            Asked once a connection is open, just before the request is written; if it returns
            False, nothing is sent and the result is ``unreachable``.

        Returns
        -------
        Result
            The response whatever its status, or a problem. Its kind is ``unreachable`` only if
            not one byte of the request was written; ``deadline`` if the request was sent and its
            whole answer did not come in time; ``too_large``; ``malformed`` if the answer was
            broken or cut short; ``unknown_outcome`` if the connection was lost before an answer.
        """
        pool = self._find_pool(address)
        if pool is None:
            return Failure(_unreachable(address, "is no address of the form host:port"))
        fields = [("Host", address), *headers]
        limit_bytes = (
            self._limits.max_answer_bytes if max_answer_bytes is None else max_answer_bytes
        )
        connection = pool.take_idle()
        if connection is not None:
            if not may_send():
                pool.give_back(connection)
                return Failure(_unreachable(address, "was not sent the request: withdrawn"))
            answer = connection.send(method, path, fields, body, limit_bytes)
            return await self._wait_for_answer(pool, connection, answer, address, timeout_ms)
        result: Result[Response, Problem] | None = None
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                connection = await pool.take()
                if not may_send():
                    result = Failure(_unreachable(address, "was not sent the request: withdrawn"))
                    return result
                result = await connection.send(method, path, fields, body, limit_bytes)
                return result
        except TimeoutError:
            if connection is not None:
                return Failure(_deadline(address, timeout_ms))
            return Failure(_unreachable(address, "gave no connection in time"))
        except OSError as error:
            return Failure(_unreachable(address, f"can't be reached: {error}"))
        finally:
            self._put_away(pool, connection, whole=result is not None)

    async def _wait_for_answer(
        self,
        pool: ConnectionPool,
        connection: ClientConnection,
        answer: "asyncio.Future[Result[Response, Problem]]",
        address: str,
        timeout_ms: float,
    ) -> Result[Response, Problem]:
        """Wait on a connection that was open already, as most are; that needs a timer only."""
        timer = asyncio.get_running_loop().call_later(
            timeout_ms / 1000, lambda: connection.expire(_deadline(address, timeout_ms))
        )
        try:
            return await answer
        finally:
            timer.cancel()
            self._put_away(pool, connection, whole=not answer.cancelled())

    async def close(self) -> None:
        """Cut every connection."""
        for pool in self._pools.values():
            pool.close()
        await asyncio.sleep(0)

    def _put_away(self, pool: ConnectionPool, connection, whole: bool) -> None:
        if connection is None:
            return
        if whole:
            pool.give_back(connection)
        else:
            pool.discard(connection)

    def _find_pool(self, address: str) -> ConnectionPool | None:
        pool = self._pools.get(address)
        if pool is not None:
            return pool
        host, _, port = address.rpartition(":")
        if not host or not port.isdigit():
            return None
        if len(self._pools) >= MAX_IDLE_POOLS:
            self._pools = {key: kept for key, kept in self._pools.items() if not kept.is_empty()}
        pool = ConnectionPool(host.strip("[]"), int(port), self._limits, self._clock)
        self._pools[address] = pool
        return pool


def _unreachable(address: str, what: str) -> Problem:
    remedy = "Nothing was sent, so it is safe to retry, here or at another address."
    return Problem(ErrorKind.UNREACHABLE, f"{address} {what}.", remedy)


def _deadline(address: str, timeout_ms: float) -> Problem:
    message = f"{address} sent no whole answer within {timeout_ms:.0f} ms."
    remedy = "The request may have been carried out: ask under its id before sending another."
    return Problem(ErrorKind.DEADLINE, message, remedy)
