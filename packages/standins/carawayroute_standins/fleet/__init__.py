"""A small emulator of the platform that the fleet runs on: keyed topics and runners with leases."""
