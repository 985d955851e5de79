"""Soak: real instances on loopback under random faults from outside."""

import pathlib
import sys

# The emulator of the platform lives beside the adapter that it answers.
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "platform"))
