"""Authenticated HTTP messages between entry instances (peers)."""
