"""Tests of the snapshots package."""
