"""Run an instance by the platform's settings file: ``python -m carawayrouted.platform``."""

import asyncio
import sys

from carawayrouted.instance import Instance
from carawayrouted.logs import configure
from carawayrouted.output import BoundedOutput
from carawayrouted.platform.settings import PlatformSettingsError, read_settings

EXIT_WRONG_SETTING = 2


async def _run(settings, output: BoundedOutput) -> None:
    await Instance(settings, output).run()


def main() -> None:
    """Read the settings and serve."""
    try:
        settings = read_settings()
    except PlatformSettingsError as error:
        print(f"carawayrouted: {error}", file=sys.stderr)
        sys.exit(EXIT_WRONG_SETTING)
    output = BoundedOutput(sys.stdout.fileno())
    configure("json", "info", settings.instance, output)
    asyncio.run(_run(settings, output))


if __name__ == "__main__":
    main()
