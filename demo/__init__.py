"""Demonstration of the product on loopback, with a simulated platform."""
