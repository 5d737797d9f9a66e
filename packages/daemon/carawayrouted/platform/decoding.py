"""Checks of data from outside the program: JSON documents, their fields, and addresses.

Every failure is a ``FormatError``. Its text does not repeat the data, which may be large.
"""

import base64
import ipaddress
import json
import math
import re
from typing import NoReturn

from carawayroute.fleet.exceptions import FormatError

# Above all that the platform sends: a page of the newest records has 1 MB, encoded in base64.
MAX_DOCUMENT_BYTES = 4_000_000
MAX_DEPTH = 64
MAX_NAME_BYTES = 255
MAX_UINT32 = 2**32 - 1
MAX_INT64 = 2**63 - 1
# Larger times are not exact as floats.
MAX_TIME_MS = 2**53
MAX_HOST_CHARACTERS = 253
MAX_PORT = 65_535

_BRACKET_OR_STRING = re.compile(r'[\[\]{}]|"[^"\\]*+(?:\\.[^"\\]*+)*+"?+', re.DOTALL)
_PORT = re.compile(r"[1-9][0-9]{0,4}")
_NUMERIC_HOST = re.compile(r"[0-9.]+")
_HOST_LABEL = re.compile(r"[A-Za-z0-9_](?:[A-Za-z0-9_-]{0,61}[A-Za-z0-9_])?")
_HEADER_SAFE = re.compile(r"[!-~]+")
_MISSING = object()


def decode_json(data: bytes, max_bytes: int = MAX_DOCUMENT_BYTES) -> object:
    """Decode a JSON document in UTF-8.

    :raises FormatError: it is malformed, too large or too deeply nested, or has a number that JSON
        does not allow.
    """
    if len(data) > max_bytes:
        raise FormatError(f"{len(data)} bytes, allowed are {max_bytes}")
    try:
        text = data.decode()
        if _is_deeper_than(text, MAX_DEPTH):
            raise FormatError(f"nested more than {MAX_DEPTH} levels deep")
        return json.loads(text, parse_constant=_refuse_constant)
    except (ValueError, RecursionError) as error:
        # The message of an integer with too many digits is safe, that of a decoder is short.
        raise FormatError(f"not JSON: {type(error).__name__}: {error}") from error


def _refuse_constant(name: str) -> NoReturn:
    raise FormatError(f"{name} is not a JSON number")


def _is_deeper_than(text: str, most: int) -> bool:
    if text.count("[") + text.count("{") <= most:
        return False
    depth = 0
    for match in _BRACKET_OR_STRING.finditer(text):
        first = match[0][0]
        if first in "[{":
            depth += 1
            if depth > most:
                return True
        elif first in "]}":
            depth -= 1
    return False


def decode_object(data: bytes, max_bytes: int = MAX_DOCUMENT_BYTES) -> "Fields":
    """Decode a JSON object.

    :raises FormatError: the document is malformed or no object.
    """
    return check_object(decode_json(data, max_bytes), "the document")


class Fields:
    """The fields of a JSON object, read by type.

    Each getter raises ``FormatError`` if the value has another type or is out of range, or if the
    field is missing (or null) and there is no default.
    """

    __slots__ = ("_values",)

    def __init__(self, values: dict) -> None:
        self._values = values

    def __len__(self) -> int:
        return len(self._values)

    def __contains__(self, name: str) -> bool:
        return self._values.get(name) is not None

    def _value(self, name: str) -> object:
        value = self._values.get(name)
        if value is None:
            raise FormatError(f"{name} is missing")
        return value

    def text(
        self,
        name: str,
        default: str | None = None,
        max_bytes: int = MAX_NAME_BYTES,
        least_bytes: int = 0,
    ) -> str:
        """Return a text of limited length in UTF-8."""
        if default is not None and name not in self:
            return default
        return check_text(self._value(name), name, max_bytes, least_bytes)

    def raw_text(self, name: str) -> str:
        """Return a text that may have lone surrogates."""
        value = self._value(name)
        if not isinstance(value, str):
            raise FormatError(f"{name} is not text")
        return value

    def base64(self, name: str) -> bytes:
        """Return the bytes that a text in base64 stands for."""
        try:
            return base64.b64decode(self.raw_text(name), validate=True)
        except ValueError as error:
            raise FormatError(f"{name} is not base64") from error

    def whole(self, name: str, low: int, high: int, default: int | None = None) -> int:
        """Return a whole number in a range."""
        if default is not None and name not in self:
            return default
        return check_whole(self._value(name), name, low, high)

    def number(self, name: str, low: float, high: float, default: float | None = None) -> float:
        """Return a finite number in a range."""
        if default is not None and name not in self:
            return default
        return check_number(self._value(name), name, low, high)

    def flag(self, name: str) -> bool:
        """Return a boolean, false if it is missing."""
        value = self._values.get(name)
        if value is None:
            return False
        if not isinstance(value, bool):
            raise FormatError(f"{name} is not true or false")
        return value

    def items(self, name: str, default: list | None = None, most: int | None = None) -> list:
        """Return a list with a limited number of items."""
        if default is not None and name not in self:
            return default
        return check_list(self._value(name), name, most)

    def object(self, name: str, required: bool = False) -> "Fields":
        """Return the fields of an object, none if it is missing and not required."""
        if not required and name not in self:
            return Fields({})
        return check_object(self._value(name), name)

    def address(self, name: str) -> tuple[str, int]:
        """Return the host and port of an address."""
        return parse_address(self.text(name), name)


def check_object(value: object, what: str) -> Fields:
    """Return the fields of an object.

    :raises FormatError: the value is no object.
    """
    if not isinstance(value, dict):
        raise FormatError(f"{what} is not an object")
    return Fields(value)


def check_list(value: object, what: str, most: int | None = None, least: int = 0) -> list:
    """Return a list.

    :raises FormatError: the value is no list, or has too many or too few items.
    """
    if not isinstance(value, list):
        raise FormatError(f"{what} is not a list")
    if len(value) < least:
        raise FormatError(f"{what} has {len(value)} items, required are {least}")
    if most is not None and len(value) > most:
        raise FormatError(f"{what} has {len(value)} items, allowed are {most}")
    return value


def check_text(
    value: object, what: str, max_bytes: int = MAX_NAME_BYTES, least_bytes: int = 0
) -> str:
    """Return a text.

    :raises FormatError: the value is no text, is not valid Unicode, or is too long or too short.
    """
    if not isinstance(value, str):
        raise FormatError(f"{what} is not text")
    try:
        size = len(value.encode())
    except UnicodeEncodeError as error:
        raise FormatError(f"{what} is not valid Unicode") from error
    if not least_bytes <= size <= max_bytes:
        raise FormatError(f"{what} has {size} bytes, allowed are {least_bytes} to {max_bytes}")
    return value


def check_whole(value: object, what: str, low: int, high: int) -> int:
    """Return a whole number; 2.0 is one.

    :raises FormatError: the value is no whole number, or out of range.
    """
    if isinstance(value, float) and value.is_integer():
        value = int(value)
    if isinstance(value, bool) or not isinstance(value, int) or not low <= value <= high:
        raise FormatError(f"{what} is not a whole number from {low} to {high}")
    return value


def check_number(value: object, what: str, low: float, high: float) -> float:
    """Return a finite number.

    :raises FormatError: the value is no number, or out of range.
    """
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    if not is_number or not low <= value <= high:
        raise FormatError(f"{what} is not a number from {low} to {high}")
    return float(value)


def check_header_safe(text: str, what: str) -> str:
    """Return a text that may be sent as a header: visible ASCII characters, at least one.

    :raises FormatError: the text has other characters, or is empty or too long.
    """
    if len(text) > MAX_NAME_BYTES or not _HEADER_SAFE.fullmatch(text):
        raise FormatError(f"{what} is not 1 to {MAX_NAME_BYTES} visible ASCII characters")
    return text


def parse_decimal(text: str, low: float, high: float, default: float) -> float:
    """Return a number in text, limited to a range.

    :param default: returned if the text is not a finite number.
    """
    try:
        value = float(text)
    except ValueError:
        return default
    return min(high, max(low, value)) if math.isfinite(value) else default


def parse_address(text: str, what: str) -> tuple[str, int]:
    """Return the host and port of ``host:port``, with a host name or an IPv4 address.

    :raises FormatError: the text has another form, or the port is out of range.
    """
    host, _, port_text = text.rpartition(":")
    port = parse_port(port_text, f"the port of {what}")
    if _NUMERIC_HOST.fullmatch(host):
        _parse_ipv4(host, what)
    elif len(host) > MAX_HOST_CHARACTERS or not all(
        _HOST_LABEL.fullmatch(label) for label in host.split(".")
    ):
        raise FormatError(f"{what} has no host name or IPv4 address")
    return host, port


def parse_port(text: str, what: str) -> int:
    """Return a port in ASCII digits.

    :raises FormatError: the text has another form or is out of range.
    """
    if not _PORT.fullmatch(text) or int(text) > MAX_PORT:
        raise FormatError(f"{what} is not a number from 1 to {MAX_PORT}")
    return int(text)


def check_unicast(host: str, what: str) -> None:
    """Check that a host is not an IPv4 address that no single machine has.

    :raises FormatError: it is 0.0.0.0, or a multicast, reserved or broadcast address.
    """
    if not _NUMERIC_HOST.fullmatch(host):
        return
    address = _parse_ipv4(host, what)
    if address.is_unspecified or address.is_multicast or address.is_reserved:
        raise FormatError(f"{what} is not the address of one machine")


def _parse_ipv4(host: str, what: str) -> ipaddress.IPv4Address:
    try:
        return ipaddress.IPv4Address(host)
    except ValueError as error:
        raise FormatError(f"{what} has no valid IPv4 address") from error
