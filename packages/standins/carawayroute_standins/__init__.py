"""Small stand-ins of the platform, for tests, benchmarks and the demo."""
