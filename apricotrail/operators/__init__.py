"""The operators' HTTP interface under ``/v1/admin/``, mounted by an entry on its own listener."""

from apricotrail.operators._parts import LiveTarget, OperatorParts
from apricotrail.operators._routes import Route, make_operator_routes
from apricotrail.operators._token import TOKEN_FILE, TokenFile

__all__ = [
    "LiveTarget",
    "OperatorParts",
    "Route",
    "TOKEN_FILE",
    "TokenFile",
    "make_operator_routes",
]
