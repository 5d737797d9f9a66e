"""Header, topic and key names of the platform that several modules use."""

INSTANCE_HEADER = "X-Carawayroute-Expected-Instance"
DEADLINE_HEADER = "X-Carawayroute-Deadline-Ms"

OPERATOR_TOPIC = "keyed.op"
RUNNERS_TOPIC = "keyed.servers"
CONFIGURATION_KEY = "config"
