"""Snapshots of the view, written before its records expire from the log."""
