"""Benches of the product; each writes its figures to ``build/bench``."""
