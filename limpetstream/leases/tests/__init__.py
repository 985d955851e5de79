"""Tests of what may run on an executor unseen."""
