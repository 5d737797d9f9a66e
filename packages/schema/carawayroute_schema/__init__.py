"""Protobuf messages and settings of carawayroute, generated from the files in schema/."""
