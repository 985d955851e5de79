"""Scheduler for latency-critical requests and batch work on shared workers."""
