"""Shards: ownership, journal, intake and the owner's work."""
