"""Topics, keys and decoders of the platform data that an instance follows."""

from carawayroute.fleet.types import Configuration, Runner
from carawayrouted.platform import wire_names
from carawayrouted.platform.configuration import decode_configuration
from carawayrouted.platform.runners import decode_runner


class StoreFormat:
    """Topics of the platform's store and the decoders of their records."""

    configuration_topic = wire_names.OPERATOR_TOPIC
    configuration_key = wire_names.CONFIGURATION_KEY
    runners_topic = wire_names.RUNNERS_TOPIC

    def decode_configuration(self, value: bytes) -> Configuration:
        """Decode a configuration.

        :raises FormatError: a field is missing or malformed.
        """
        return decode_configuration(value)

    def decode_runner(self, runner_id: str, value: bytes) -> Runner:
        """Decode a runner.

        :raises FormatError: a field is missing or malformed.
        """
        return decode_runner(runner_id, value)
