"""The callers' command line."""
