"""Messages and settings of carawayroute, generated from schema/."""
