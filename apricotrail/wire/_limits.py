"""Bounds on links: their number, what is accepted before the handshake, and what is buffered."""

from typing import NamedTuple

from apricotrail.resources import read_resources
from apricotrail.settings import Settings, declare_setting
from apricotrail.wire._codec import MAX_FRAME_BYTES

__all__ = ["HANDSHAKE_FRAME_BYTES", "LinkLimits", "read_link_limits"]

MAX_LINKS = declare_setting(
    "link.max_links",
    4_096,
    "Open links of one process, both directions; see link.connection_share.",
    minimum=1,
)
CONNECTION_SHARE = declare_setting(
    "link.connection_share",
    0.3,
    "Share of process.max_descriptors for links; above it, the oldest connection without a "
    "handshake gives way, or the new one is closed.",
    minimum=0.01,
    maximum=0.5,
)
UNPROVEN_SHARE = declare_setting(
    "link.unproven_share",
    0.5,
    "Share of a process's links for connections that others opened and whose handshake is pending; "
    "above it, the oldest one of the address with most gives way.",
    minimum=0.01,
    maximum=1.0,
)
HANDSHAKE_FRAME_BYTES = declare_setting(
    "link.handshake_frame_bytes",
    1_024,
    "Largest frame before the handshake is done; the link is closed at the header of a larger one.",
    unit="bytes",
    minimum=512,
)
BUFFER_BYTES = declare_setting(
    "link.buffer_bytes",
    64 * 1024 * 1024,
    "Bytes waiting to be written on one link before sends are refused; at most a quarter of "
    "link.send_memory_share.",
    unit="bytes",
    minimum=1_000_000,
)
RECEIVE_MEMORY_SHARE = declare_setting(
    "link.receive_memory_share",
    0.25,
    "Share of process.memory_mb for incomplete frames of all links, and for one frame; above it, "
    "the link that holds most is closed, unless it is the only one.",
    minimum=0.01,
    maximum=0.5,
)
SEND_MEMORY_SHARE = declare_setting(
    "link.send_memory_share",
    0.25,
    "Share of process.memory_mb for bytes waiting to be written on all links; above it, the link "
    "with most is closed.",
    minimum=0.01,
    maximum=0.5,
)
SEND_PART_OF_ONE_LINK = 4


class LinkLimits(NamedTuple):
    """Bounds on the links of one process; the settings explain them.

    Attributes
    ----------
    links, pending : int
        Open links, and those that others opened and whose handshake is pending.
    frame_bytes, handshake_frame_bytes : int
        Largest payload of a frame after and before the handshake, in bytes.
    received_bytes, unsent_bytes, unsent_bytes_of_one : int
        Incomplete frames of all links, and bytes waiting to be written on all and on one.
    """

    links: int
    pending: int
    frame_bytes: int
    handshake_frame_bytes: int
    received_bytes: int
    unsent_bytes: int
    unsent_bytes_of_one: int


def read_link_limits(settings: Settings) -> LinkLimits:
    """Return the bounds on links from the settings ``link.*`` and ``process.*``."""
    resources = read_resources(settings)
    shared = int(resources.descriptors * settings.get(CONNECTION_SHARE))
    links = min(settings.get(MAX_LINKS), max(1, shared))
    received_bytes = int(resources.memory_bytes * settings.get(RECEIVE_MEMORY_SHARE))
    unsent_bytes = int(resources.memory_bytes * settings.get(SEND_MEMORY_SHARE))
    return LinkLimits(
        links,
        max(1, int(links * settings.get(UNPROVEN_SHARE))),
        min(MAX_FRAME_BYTES, received_bytes),
        settings.get(HANDSHAKE_FRAME_BYTES),
        received_bytes,
        unsent_bytes,
        min(settings.get(BUFFER_BYTES), unsent_bytes // SEND_PART_OF_ONE_LINK),
    )
