"""Tests of the records package."""
