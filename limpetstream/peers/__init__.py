"""Authenticated HTTP messages between entry instances (peers).

A message names the member, an entry instance by its id, that should accept it;
another process that now listens at the address refuses it.
"""
