"""The operators' command of carawayroute."""
