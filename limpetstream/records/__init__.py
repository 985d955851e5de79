"""Typed records on the platform's log, and the state built from them."""
