"""Names on the platform's wire that more than one module uses."""

INSTANCE_HEADER = "X-Carawayroute-Expected-Instance"
DEADLINE_HEADER = "X-Carawayroute-Deadline-Ms"

OPERATOR_TOPIC = "keyed.op"
RUNNERS_TOPIC = "keyed.servers"
CONFIGURATION_KEY = "config"
