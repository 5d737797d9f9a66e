"""Emulator of the fleet's platform: a store with keyed topics, and runners with leases."""
