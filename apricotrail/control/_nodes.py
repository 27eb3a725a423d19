"""Tells linked processes which others are linked to this replica.

A process names the roles that it needs and gets their list once, in pieces, then the changes. With
whole lists at each change, a start of n processes would cost bytes in proportion to the cube of n.
Processes of releases that don't ask get whole lists, and so do other replicas, of replicas only.
"""

from collections.abc import Callable, Iterable, Mapping

from apricotrail.wire import Link, LinkEndpoint
from apricotrail.wire.generated.ttypes import Identity, NodeChanges, NodeList, NodesRequest

__all__ = ["NodeSharing"]

MAX_LISTED_NODES = 4_096
PIECE_NODES = 512
CONTROL_ROLE = "control"
_NODE_LIST_ROLES = frozenset({"dispatcher", "runner"})


class NodeSharing:
    """The lists of linked processes that one replica has sent.

    Parameters
    ----------
    endpoint : LinkEndpoint
        Links of this replica.
    list_retired : callable
        Returns the names of the replicas that the group has removed. Others count a majority of the
        replicas that they have seen lately, and need not count these any more.
    """

    def __init__(
        self,
        endpoint: LinkEndpoint,
        list_retired: Callable[[], frozenset[str]] = lambda: frozenset(),
    ) -> None:
        self._endpoint = endpoint
        self._list_retired = list_retired
        self._retired: frozenset[str] = frozenset()
        self._roles_by_link: dict[Link, frozenset[str]] = {}
        self._shared: dict[str, Identity] = {}
        self._is_due = False

    def note_link_change(self) -> None:
        """Record that a link came up or was lost."""
        self._is_due = True

    def forget(self, link: Link) -> None:
        """Drop the request of a lost link."""
        self._roles_by_link.pop(link, None)
        self._is_due = True

    def answer_request(self, link: Link, request: NodesRequest) -> None:
        """Send a process the listed processes of the roles it asked for; changes will follow."""
        roles = self._roles_by_link[link] = frozenset(request.roles or ())
        nodes = [node for node in self._shared.values() if node.role in roles]
        retired = sorted(self._retired) if CONTROL_ROLE in roles else None
        link.send(NodeChanges(nodes[:PIECE_NODES], [], True, retired))
        for start in range(PIECE_NODES, len(nodes), PIECE_NODES):
            link.send(NodeChanges(nodes[start : start + PIECE_NODES], [], False))

    def share(self) -> None:
        """Send what has changed since the last call."""
        former_retired, self._retired = self._retired, self._list_retired()
        is_retired_changed = self._retired != former_retired
        if not self._is_due and not is_retired_changed:
            return
        self._is_due = False
        links = list(self._endpoint.links.values())
        identities = [self._endpoint.identity, *(link.peer for link in links)]
        listed = {node.name: node for node in identities}
        former, self._shared = self._shared, listed
        if listed == former and not is_retired_changed:
            return
        added = [node for name, node in listed.items() if former.get(name) != node]
        removed = [node for name, node in former.items() if name not in listed]
        for link in links:
            roles = self._roles_by_link.get(link)
            if roles is not None:
                self._send_changes(link, roles, added, removed, is_retired_changed)
            else:
                self._send_whole_list(link, listed)

    def _send_changes(
        self,
        link: Link,
        roles: frozenset[str],
        added: Iterable[Identity],
        removed: list[Identity],
        is_retired_changed: bool,
    ) -> None:
        changes = NodeChanges(
            [node for node in added if node.role in roles],
            [node.name for node in removed if node.role in roles],
            False,
        )
        if is_retired_changed and CONTROL_ROLE in roles:
            changes.retired = sorted(self._retired)
        has_changes = changes.added or changes.removed or changes.retired is not None
        if has_changes and not link.send(changes):
            # A missed change would stay unknown; on its next link the process asks again.
            link.close()

    def _send_whole_list(self, link: Link, listed: Mapping[str, Identity]) -> None:
        nodes = list(listed.values())
        if link.peer.role == "control":
            nodes = [node for node in nodes if node.role == "control"]
        elif link.peer.role not in _NODE_LIST_ROLES:
            return
        link.send(NodeList(nodes[:MAX_LISTED_NODES]))
