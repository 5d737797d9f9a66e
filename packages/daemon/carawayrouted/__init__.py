"""The carawayroute daemon, the same on every entry instance."""
