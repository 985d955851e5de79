"""Numbered log events, structured logs, metrics and latency histograms."""
