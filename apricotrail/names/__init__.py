"""The operators' naming schemes: names, references to things, and how a reference is resolved."""

from apricotrail.names._check import (
    ID_SCHEME,
    MAX_NAME_CHARACTERS,
    find_id_fault,
    find_name_fault,
    normalize_name,
)
from apricotrail.names._nearest import list_nearest, suggest
from apricotrail.names._table import NameTable

__all__ = [
    "ID_SCHEME",
    "MAX_NAME_CHARACTERS",
    "NameTable",
    "find_id_fault",
    "find_name_fault",
    "list_nearest",
    "normalize_name",
    "suggest",
]
