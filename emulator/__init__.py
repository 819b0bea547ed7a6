"""Emulates the users' platform on loopback: store, workers and callers, seeded, with faults on demand."""
