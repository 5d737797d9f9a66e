"""`carawayctl`, the operators' command line of carawayroute."""
