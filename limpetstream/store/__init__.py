"""Defines the store of keyed topics, and follows topics in it."""
