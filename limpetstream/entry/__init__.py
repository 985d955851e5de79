"""The entry instance process: wiring, start-up and graceful shutdown."""
