"""Benchmarks of the decisions."""
