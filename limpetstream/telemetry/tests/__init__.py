"""Tests of log events, logs and latency histograms."""
