"""Benchmarks of the scheduling, routing and recovery decisions."""
