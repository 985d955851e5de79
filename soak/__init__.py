"""Soak test of real instances on loopback under random external faults."""

import pathlib
import sys

# The emulator of the platform is in the same directory as the adapter.
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "platform"))
