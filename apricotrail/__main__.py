"""Runs the command line as ``python -m apricotrail``."""

from apricotrail.cli import main

if __name__ == "__main__":
    main()
