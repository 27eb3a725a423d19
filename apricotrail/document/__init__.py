"""The one document of an environment: parsing, checks, differences, items and acceptance.

`parse_document` checks the whole text; `check_succession` checks it against the document in force;
`make_items` turns it into the configuration items that every node receives, and `read_items` turns
a node's items into typed look-ups.
"""

from apricotrail.document._acceptance import (
    digest_document,
    sign_acceptance,
    verify_acceptance,
)
from apricotrail.document._configuration import (
    DocumentRecord,
    EffectiveConfiguration,
    Host,
    read_items,
)
from apricotrail.document._diff import Difference, DocumentDiff, diff_documents
from apricotrail.document._items import encode_item, make_items
from apricotrail.document._model import (
    DEFAULT_TEAM_ID,
    Document,
    Objectives,
    Service,
    Target,
    Team,
    Zone,
)
from apricotrail.document._parse import MAX_DOCUMENT_BYTES, parse_document
from apricotrail.document._succession import check_succession

__all__ = [
    "DEFAULT_TEAM_ID",
    "Difference",
    "Document",
    "DocumentDiff",
    "DocumentRecord",
    "EffectiveConfiguration",
    "Host",
    "MAX_DOCUMENT_BYTES",
    "Objectives",
    "Service",
    "Target",
    "Team",
    "Zone",
    "check_succession",
    "diff_documents",
    "digest_document",
    "encode_item",
    "make_items",
    "parse_document",
    "read_items",
    "sign_acceptance",
    "verify_acceptance",
]
