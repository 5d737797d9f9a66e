"""Settings from flags and environment variables, validated against the schema."""

import re
from collections.abc import Mapping

from carawayroute_schema.setting import Setting
from carawayroute_schema.settings import BY_NAME
from carawayrouted.exceptions import SettingError


class Settings:
    """The validated settings, with one attribute for each name in the schema.

    :param flags: values given as flags, by name.
    :param environment: environment variables.
    :raises SettingError: a setting is missing, unknown or invalid; the message names the first one.
    """

    def __init__(self, flags: Mapping[str, object], environment: Mapping[str, str]) -> None:
        for name in flags:
            if name not in BY_NAME:
                raise SettingError(f"--{name.replace('_', '-')} is not a known flag; try --help")
        for name, setting in BY_NAME.items():
            value = flags.get(name, environment.get(setting.variable, setting.default))
            setattr(self, name, _checked(setting, value))


def _checked(setting: Setting, value: object) -> str | int:
    """Return a value converted to its type.

    :raises SettingError: the value is missing or invalid.
    """
    text = str(value)
    if setting.type == "integer":
        valid = re.fullmatch(r"-?\d{1,18}", text) is not None
        if valid and setting.low <= int(text) <= setting.high:
            return int(text)
    elif setting.type == "choice":
        if text in setting.choices:
            return text
    elif re.fullmatch(setting.pattern, text):
        return text
    shown = "is missing" if text in ("", "0") else f"is {text!r}"
    raise SettingError(f"{setting.flag} ({setting.variable}) {shown}; allowed: {setting.allowed}")


def help_text() -> str:
    """Return the help text of the daemon's command."""
    lines = [
        "usage: carawayrouted --instance NAME --region NAME ... [--flag VALUE ...]",
        "",
        "Every flag can also be given as the environment variable named beside it.",
        "",
    ]
    for setting in BY_NAME.values():
        default = f"default {setting.default}" if setting.default else "required"
        lines.append(f"  {setting.flag} ({setting.variable})")
        lines.append(f"      {setting.help}; {setting.allowed}; {default}")
    return "\n".join(lines)
