"""The operators' HTTP API and command line."""
