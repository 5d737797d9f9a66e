"""Where the platform keeps what an instance follows, and how it reads."""

from carawayroute.fleet.types import Configuration, Runner
from carawayrouted.platform import wire_names
from carawayrouted.platform.configuration import decode_configuration
from carawayrouted.platform.runners import decode_runner


class StoreFormat:
    """The platform's own topics."""

    configuration_topic = wire_names.OPERATOR_TOPIC
    configuration_key = wire_names.CONFIGURATION_KEY
    runners_topic = wire_names.RUNNERS_TOPIC

    def decode_configuration(self, value: bytes) -> Configuration:
        """Return a configuration."""
        return decode_configuration(value)

    def decode_runner(self, runner_id: str, value: bytes) -> Runner:
        """Return a runner."""
        return decode_runner(runner_id, value)
