"""Parsing and validation of the configuration that operators publish."""

import re
from typing import Any

from google.protobuf import json_format, message_factory
from google.protobuf.descriptor import FieldDescriptor
from google.protobuf.message import Message

from carawayroute.exceptions import ConfigurationError, FieldProblem
from carawayroute.types import shape_accelerators
from carawayroute_schema import carawayroute_pb2 as pb

ID_PATTERN = re.compile(r"[a-z0-9][a-z0-9-]{0,62}")
KEY_PATTERN = re.compile(r"[0-9a-f]{64}")
MAX_MEMBERS = 1024
MAX_ACCELERATORS = 64
MAX_WEIGHT = 1000
MAX_TIME_MS = 30 * 24 * 3600 * 1000
MAX_BODY_BYTES = 16 * 1024 * 1024


def read_configuration(tree: Any) -> pb.Configuration:
    """Parse a configuration from decoded JSON or YAML.

    :param tree: nested dicts and lists.
    :raises ConfigurationError: a field is unknown or has the wrong type.
    """
    if not isinstance(tree, dict):
        raise ConfigurationError([FieldProblem("configuration", "is not a map of fields")])
    configuration = pb.Configuration()
    try:
        return json_format.ParseDict(tree, configuration)
    except (json_format.ParseError, AttributeError, TypeError, ValueError) as error:
        raise ConfigurationError([_find_invalid_field(tree, configuration, "", error)]) from error


def _find_invalid_field(tree: Any, message: Message, path: str, error: Exception) -> FieldProblem:
    """Return the innermost field of the tree that fails to parse as the message.

    ``ParseDict`` does not report the full path, so each field is parsed on its own.
    """
    if not isinstance(tree, dict):
        return FieldProblem(path.rstrip("."), "is not a map of fields")
    fields_by_name = {field.json_name: field for field in message.DESCRIPTOR.fields}
    fields_by_name.update({field.name: field for field in message.DESCRIPTOR.fields})
    for name, value in tree.items():
        field_path = f"{path}{name}"
        field = fields_by_name.get(name)
        if field is None:
            return FieldProblem(field_path, "is not a known field")
        try:
            json_format.ParseDict({name: value}, type(message)())
        except (json_format.ParseError, AttributeError, TypeError, ValueError) as nested_error:
            return _find_invalid_subfield(value, field, field_path, nested_error)
    return FieldProblem(path.rstrip(".") or "configuration", str(error))


def _find_invalid_subfield(
    value: Any, field: FieldDescriptor, path: str, error: Exception
) -> FieldProblem:
    if field.message_type is None:
        return FieldProblem(path, f"{value!r} is not allowed here")
    message_class = message_factory.GetMessageClass(field.message_type)
    if not field.is_repeated:
        return _find_invalid_field(value, message_class(), f"{path}.", error)
    if not isinstance(value, list):
        return FieldProblem(path, "is not a list")
    for index, item in enumerate(value):
        try:
            json_format.ParseDict(item, message_class())
        except (json_format.ParseError, AttributeError, TypeError, ValueError) as nested_error:
            return _find_invalid_field(item, message_class(), f"{path}[{index}].", nested_error)
    return FieldProblem(path, str(error))


def check_configuration(
    configuration: pb.Configuration, capacity_by_region: dict[str, int] | None = None
) -> None:
    """Validate every field of a configuration.

    :param capacity_by_region: number of accelerators by region; if given, guarantees are checked
        against it.
    :raises ConfigurationError: holds every problem, each with the path of its field.
    """
    problems: list[FieldProblem] = []
    _check_ids("teams", configuration.teams, problems)
    _check_ids("kinds", configuration.kinds, problems)
    for index, team in enumerate(configuration.teams):
        _check_team(f"teams[{index}]", team, problems)
    for index, kind in enumerate(configuration.kinds):
        _check_kind(f"kinds[{index}]", kind, problems)
    if capacity_by_region is not None:
        _check_capacity(configuration, capacity_by_region, problems)
    if problems:
        raise ConfigurationError(problems)


def _check_ids(path: str, items: Any, problems: list[FieldProblem]) -> None:
    seen: set[str] = set()
    for index, item in enumerate(items):
        if not ID_PATTERN.fullmatch(item.id):
            problems.append(
                FieldProblem(f"{path}[{index}].id", "must be lower-case letters, digits and -")
            )
        if item.id in seen:
            problems.append(FieldProblem(f"{path}[{index}].id", f"{item.id!r} stands twice"))
        seen.add(item.id)


def _check_range(path: str, value: int, low: int, high: int, problems: list[FieldProblem]) -> None:
    if not low <= value <= high:
        problems.append(FieldProblem(path, f"is {value}, must be from {low} to {high}"))


def _check_team(path: str, team: pb.Team, problems: list[FieldProblem]) -> None:
    if not KEY_PATTERN.fullmatch(team.key_sha256):
        problems.append(FieldProblem(f"{path}.keySha256", "must be 64 hexadecimal digits"))
    _check_range(f"{path}.weight", team.weight, 1, MAX_WEIGHT, problems)
    _check_ids(f"{path}.guarantees", team.guarantees, problems)
    for index, guarantee in enumerate(team.guarantees):
        field_path = f"{path}.guarantees[{index}]"
        if not ID_PATTERN.fullmatch(guarantee.region):
            problems.append(FieldProblem(f"{field_path}.region", "must name a region"))
        _check_range(f"{field_path}.count", guarantee.count, 1, MAX_MEMBERS, problems)
        check_shape(f"{field_path}.shape", guarantee.shape, problems)


def check_shape(path: str, shape: pb.Shape, problems: list[FieldProblem]) -> None:
    """Append a problem for each field of a shape that is out of range."""
    _check_range(f"{path}.members", shape.members, 1, MAX_MEMBERS, problems)
    _check_range(f"{path}.accelerators", shape.accelerators, 1, MAX_ACCELERATORS, problems)


def _check_kind(path: str, kind: pb.Kind, problems: list[FieldProblem]) -> None:
    _check_range(f"{path}.weight", kind.weight, 1, MAX_WEIGHT, problems)
    _check_range(f"{path}.maxWaitMs", kind.max_wait_ms, 1, MAX_TIME_MS, problems)
    _check_range(f"{path}.expectedRunMs", kind.expected_run_ms, 1, MAX_TIME_MS, problems)
    _check_range(f"{path}.maxBodyBytes", kind.max_body_bytes, 1, MAX_BODY_BYTES, problems)


def _check_capacity(
    configuration: pb.Configuration,
    capacity_by_region: dict[str, int],
    problems: list[FieldProblem],
) -> None:
    remaining_by_region = dict(capacity_by_region)
    for team_index, team in enumerate(configuration.teams):
        for index, guarantee in enumerate(team.guarantees):
            path = f"teams[{team_index}].guarantees[{index}]"
            if guarantee.region not in remaining_by_region:
                problems.append(FieldProblem(f"{path}.region", "has no workers"))
                continue
            remaining_by_region[guarantee.region] -= (
                shape_accelerators(guarantee.shape) * guarantee.count
            )
            if remaining_by_region[guarantee.region] < 0:
                total = capacity_by_region[guarantee.region]
                reason = f"the guarantees of {guarantee.region} exceed its {total} accelerators"
                problems.append(FieldProblem(path, reason))
