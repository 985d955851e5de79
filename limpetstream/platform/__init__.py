"""Clients of the platform's HTTP interface: log, workers, instance list."""
