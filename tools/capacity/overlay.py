"""Spreading changes: a low fan-out topic-connected overlay against relay trees per zone.

The overlay is built greedily as MinMax-ODA of Onus and Richa, in the form that Chen, Vitenberg and
Jacobsen call GM-M (*Scaling Construction of Low Fan-out Overlays for Topic-based Publish/Subscribe
Systems*, 2010, algorithm 1): again and again the edge that joins most topic components, among those
that raise the highest degree least.
"""

from collections.abc import Iterable
from math import ceil, log
from random import Random
from time import process_time
from typing import NamedTuple

__all__ = ["print_comparison"]

ZONES = 8
SERVICES_PER_NODES = 110
SIZES = (64, 128, 256, 512)
FULL_SIZE = 22_000
RELAYS_PER_ZONE = 3


class Overlay(NamedTuple):
    """Highest and mean degree, and mean messages for a zone's and for a service's change."""

    highest_degree: int
    mean_degree: float
    zone_messages: float
    zone_hops: int
    seconds: float


def make_interests(nodes: int, seed: int = 1) -> list[tuple[str, ...]]:
    """Return the topics of each node: its zone, its service, and what all need."""
    random = Random(seed)
    services = max(2, nodes // SERVICES_PER_NODES)
    return [
        ("all", f"zone-{node % ZONES}", f"service-{random.randrange(services)}")
        for node in range(nodes)
    ]


def build_overlay(interests: list[tuple[str, ...]]) -> Overlay:
    """Build the overlay over all nodes and return what it costs."""
    began = process_time()
    parents = {(node, topic): node for node, topics in enumerate(interests) for topic in topics}
    missing = _count_joins(interests)
    degrees = [0] * len(interests)
    edges: list[tuple[int, int]] = []
    used: set[tuple[int, int]] = set()
    while missing:
        edge, joined = _find_edge(interests, parents, degrees, used)
        used.add(edge)
        edges.append(edge)
        for node in edge:
            degrees[node] += 1
        for topic in joined:
            parents[(_find(parents, edge[0], topic), topic)] = _find(parents, edge[1], topic)
        missing -= len(joined)
    zone = [node for node, topics in enumerate(interests) if "zone-0" in topics]
    messages, hops = _flood(edges, set(zone))
    mean = 2 * len(edges) / len(interests)
    return Overlay(max(degrees), mean, messages, hops, process_time() - began)


def _count_joins(interests: list[tuple[str, ...]]) -> int:
    counts: dict[str, int] = {}
    for topics in interests:
        for topic in topics:
            counts[topic] = counts.get(topic, 0) + 1
    return sum(count - 1 for count in counts.values())


def _find_edge(interests, parents, degrees, used):  # type: ignore[no-untyped-def]
    """Return the best edge by (rise of the highest degree, topics joined)."""
    highest = max(degrees)
    best = None
    nodes = sorted(range(len(interests)), key=degrees.__getitem__)
    for index, first in enumerate(nodes):
        roots = {topic: _find(parents, first, topic) for topic in interests[first]}
        for second in nodes[index + 1 :]:
            rises = max(degrees[first], degrees[second]) + 1 > highest
            if best is not None and (rises, -len(roots)) >= best[0]:
                break
            joined = [
                topic
                for topic in interests[second]
                if topic in roots and _find(parents, second, topic) != roots[topic]
            ]
            key = (rises, -len(joined))
            if joined and (first, second) not in used and (best is None or key < best[0]):
                best = (key, (first, second), joined)
    return best[1], best[2]


def _find(parents: dict[tuple[int, str], int], node: int, topic: str) -> int:
    while parents[(node, topic)] != node:
        parent = parents[(node, topic)]
        parents[(node, topic)] = parents[(parent, topic)]
        node = parent
    return node


def _flood(edges: Iterable[tuple[int, int]], members: set[int]) -> tuple[float, int]:
    """Return messages and hops of a flood from one member through the edges among members."""
    neighbours: dict[int, list[int]] = {node: [] for node in members}
    for first, second in edges:
        if first in members and second in members:
            neighbours[first].append(second)
            neighbours[second].append(first)
    start = min(members)
    reached, border, hops, messages = {start}, [start], 0, len(neighbours[start])
    while border:
        following = []
        for node in border:
            for other in neighbours[node]:
                if other not in reached:
                    reached.add(other)
                    following.append(other)
                    messages += len(neighbours[other]) - 1
        border = following
        hops += bool(border)
    return messages, hops


def print_comparison() -> None:
    """Build overlays of several sizes and print them beside relay trees."""
    print(
        "\n### Overlay\n\n| nodes | way | highest degree of a worker's node | links in all "
        "| messages for a zone's change | hops | built in |\n"
        "| --- | --- | --- | --- | --- | --- | --- |"
    )
    degrees = []
    for size in SIZES:
        overlay = build_overlay(make_interests(size))
        degrees.append(overlay.highest_degree)
        print(
            f"| {size} | overlay | {overlay.highest_degree} | {overlay.mean_degree * size / 2:.0f} "
            f"| {overlay.zone_messages:.0f} | {overlay.zone_hops} | {overlay.seconds:.2f} s |",
            flush=True,
        )
        print(_describe_tree(size))
    print(_describe_tree(FULL_SIZE))
    growth = log(degrees[-1] / degrees[0]) / log(SIZES[-1] / SIZES[0])
    print(f"\nhighest degree grows as n^{growth:.2f} between {SIZES[0]} and {SIZES[-1]} nodes")


def _describe_tree(size: int) -> str:
    relays = ZONES * RELAYS_PER_ZONE
    per_zone = ceil(size / ZONES)
    # Control to each relay, each relay to its share of the zone; a node links to two relays.
    messages = RELAYS_PER_ZONE + per_zone
    return (
        f"| {size:,} | {relays} relays | 2 (a relay: {ceil(2 * size / relays):,}) "
        f"| {relays + 2 * size:,} | {messages:,} | 2 | |"
    )
