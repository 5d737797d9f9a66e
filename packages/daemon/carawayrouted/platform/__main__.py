"""Run an instance from the platform's settings file: ``python -m carawayrouted.platform``."""

import asyncio
import os
import sys
from collections.abc import Mapping

from carawayroute.fleet.exceptions import FormatError
from carawayrouted.instance import Instance
from carawayrouted.logs import configure
from carawayrouted.output import BoundedOutput
from carawayrouted.platform.decoding import parse_port
from carawayrouted.platform.settings import PlatformSettings, PlatformSettingsError, read_settings

EXIT_INVALID_SETTINGS = 2
# The platform scrapes metrics at the port given in deploy/system.toml.
METRICS_PORT_VARIABLE = "CARAWAYROUTED_METRICS_PORT"
METRICS_PORT = 9464


async def _run(settings: PlatformSettings, output: BoundedOutput, metrics_port: int) -> None:
    await Instance(settings, output, metrics_port).run()


def metrics_port(environment: Mapping[str, str]) -> int:
    """Return the port that metrics are served on.

    :raises PlatformSettingsError: the variable is not a port number.
    """
    text = environment.get(METRICS_PORT_VARIABLE, str(METRICS_PORT))
    try:
        return parse_port(text, METRICS_PORT_VARIABLE)
    except FormatError as error:
        raise PlatformSettingsError(str(error)) from error


def main() -> None:
    """Read the settings and run the instance; exit with status 2 if they are invalid."""
    try:
        settings = read_settings()
        port = metrics_port(os.environ)
    except PlatformSettingsError as error:
        print(f"carawayrouted: {error}", file=sys.stderr)
        sys.exit(EXIT_INVALID_SETTINGS)
    output = BoundedOutput(sys.stdout.fileno())
    configure("json", "info", settings.instance, output)
    asyncio.run(_run(settings, output, port))


if __name__ == "__main__":
    main()
