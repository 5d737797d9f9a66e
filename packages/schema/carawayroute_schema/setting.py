"""The type of one setting in the settings schema."""


class Setting:
    """Name, type and allowed values of one setting of a program.

    :param name: name in code, from which the flag and the environment variable are derived.
    :param type: ``text``, ``integer`` or ``choice``.
    :param default: value if neither the flag nor the variable is given; a setting whose default is
        empty text or 0 is required.
    :param help: one line of help for operators.

    :param pattern: regular expression that a text must match in full.
    :param low: smallest integer allowed.
    :param high: largest integer allowed.
    :param choices: values allowed for a choice.
    """

    __slots__ = ("choices", "default", "help", "high", "low", "name", "pattern", "type")

    def __init__(
        self,
        name: str,
        type: str,
        default: str | int,
        help: str,
        pattern: str = "",
        low: int = 0,
        high: int = 0,
        choices: list[str] | None = None,
    ) -> None:
        self.name = name
        self.type = type
        self.default = default
        self.help = help
        self.pattern = pattern
        self.low = low
        self.high = high
        self.choices = choices or []

    @property
    def flag(self) -> str:
        """Return the flag, such as ``--log-url``."""
        return "--" + self.name.replace("_", "-")

    @property
    def variable(self) -> str:
        """Return the environment variable, such as ``CARAWAYROUTED_LOG_URL``."""
        return "CARAWAYROUTED_" + self.name.upper()

    @property
    def allowed(self) -> str:
        """Return what the setting allows, for error messages and help."""
        if self.type == "integer":
            return f"a whole number from {self.low} to {self.high}"
        if self.type == "choice":
            return "one of " + ", ".join(self.choices)
        return f"text that matches {self.pattern}"
