"""What a node knows of the rest: configuration, its age, announcements and views."""

from apricotrail.membership._configuration import Configuration
from apricotrail.membership._freshness import (
    CONFIG_STALE_MS,
    NEVER_CONFIRMED_AGE_MS,
    Freshness,
)

__all__ = ["CONFIG_STALE_MS", "NEVER_CONFIRMED_AGE_MS", "Configuration", "Freshness"]
