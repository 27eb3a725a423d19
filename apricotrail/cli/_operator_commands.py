"""The operators' commands by noun and verb."""

from apricotrail.cli.document import (
    check_document,
    diff_document,
    list_documents,
    promote_document,
    show_document,
    try_document,
)
from apricotrail.cli.member import (
    add_member,
    list_members,
    promote_member,
    remove_member,
)
from apricotrail.cli.service import list_services, show_service
from apricotrail.cli.target import let_target_return, list_targets, make_target_leave
from apricotrail.cli.zone import list_zones, put_zone_in, take_zone_out

__all__ = ["OPERATOR_COMMANDS"]

OPERATOR_COMMANDS = {
    "document": {
        "check": check_document,
        "diff": diff_document,
        "try": try_document,
        "promote": promote_document,
        "history": list_documents,
        "show": show_document,
    },
    "member": {
        "list": list_members,
        "add": add_member,
        "promote": promote_member,
        "remove": remove_member,
    },
    "service": {"list": list_services, "show": show_service},
    "target": {
        "list": list_targets,
        "leave": make_target_leave,
        "return": let_target_return,
    },
    "zone": {"list": list_zones, "out": take_zone_out, "in": put_zone_in},
}
