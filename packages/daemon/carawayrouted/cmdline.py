"""Command line of the daemon, `carawayrouted`."""

import asyncio
import os
import sys

import fire

from carawayrouted.daemon import run_daemon
from carawayrouted.exceptions import SettingError
from carawayrouted.logs import configure
from carawayrouted.settings import Settings, help_text

EXIT_INVALID_SETTINGS = 2


def run(*arguments: str, **flags: object) -> None:
    """Check the settings and run the daemon.

    :raises SettingError: an argument or setting is unknown, missing or invalid.
    """
    if arguments:
        raise SettingError(f"{arguments[0]!r} is not a flag; try --help")
    settings = Settings(flags, os.environ)
    configure(settings.log_format, settings.log_level, settings.instance)
    asyncio.run(run_daemon(settings))


def main() -> None:
    """Run the command; exit with status 2 if a setting is invalid."""
    if "--help" in sys.argv[1:] or "-h" in sys.argv[1:]:
        print(help_text())
        return
    try:
        fire.Fire(run)
    except SettingError as error:
        print(f"carawayrouted: {error}", file=sys.stderr)
        sys.exit(EXIT_INVALID_SETTINGS)
    except OSError as error:
        print(f"carawayrouted: {error}", file=sys.stderr)
        sys.exit(1)


if __name__ == "__main__":
    main()
