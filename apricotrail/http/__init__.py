"""HTTP/1.1 on h11: a server with limits and draining, a router, and a pooling client."""

from apricotrail.http._client import HttpClient
from apricotrail.http._limits import (
    ClientLimits,
    ServerLimits,
    read_client_limits,
    read_server_limits,
)
from apricotrail.http._messages import (
    JSON_TYPE,
    Request,
    Response,
    json_response,
    problem_response,
)
from apricotrail.http._router import Router
from apricotrail.http._server import HttpServer

__all__ = [
    "JSON_TYPE",
    "ClientLimits",
    "HttpClient",
    "HttpServer",
    "Request",
    "Response",
    "Router",
    "ServerLimits",
    "json_response",
    "problem_response",
    "read_client_limits",
    "read_server_limits",
]
