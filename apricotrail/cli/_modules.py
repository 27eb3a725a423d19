"""Imports every module, so that all declared settings and events are known."""

from importlib import import_module
from pkgutil import walk_packages

import apricotrail

__all__ = ["import_all_modules"]


def import_all_modules() -> list[str]:
    """Import every module of apricotrail but tests and the main program; return their names."""
    names = []
    for module in walk_packages(apricotrail.__path__, "apricotrail."):
        parts = module.name.split(".")
        if "tests" in parts or parts[-1] == "__main__":
            continue
        import_module(module.name)
        names.append(module.name)
    return names
