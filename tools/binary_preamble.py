"""Runs once the binary is unpacked: continues in the unpacked files with a fresh interpreter.

The unpacking code would stay in memory for the life of the process. execve replaces the program
within the same process: no child is started, the process id and its open files stay the same.
"""

import os
import sys

site_packages = globals()["site_packages"]  # given by shiv
os.environ["PYTHONPATH"] = str(site_packages)
# -S and -P: nothing but the standard library and the unpacked files can be imported.
arguments = [sys.executable, "-S", "-P", "-m", "apricotrail", *sys.argv[1:]]
os.execve(sys.executable, arguments, os.environ)
