"""Minimal in-memory and HTTP stand-ins for the platform, used by tests, benchmarks and the demo."""
