"""Adapter to the users' platform: decodes its names and formats and makes its HTTP calls."""
