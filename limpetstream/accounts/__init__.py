"""Accounts: a durable record, for each caller, of its own requests."""
