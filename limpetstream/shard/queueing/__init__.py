"""Decides which tasks of accepted jobs exist and wait for capacity."""
