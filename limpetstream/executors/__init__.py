"""Defines executors, tracks their state, and defines the calls to them."""
