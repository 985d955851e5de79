"""Latency-critical (desk) requests: admission, routing, sends and answers."""
