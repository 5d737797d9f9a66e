"""Tests of configuration parsing and validation."""

import copy

import pytest
from builders import configuration_dict, guarantee_dict
from hypothesis import given
from hypothesis import strategies as st

from carawayroute.config import check_configuration, read_configuration
from carawayroute.exceptions import ConfigurationError

trees = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda children: st.lists(children, max_size=3)
    | st.dictionaries(st.sampled_from(["teams", "kinds", "id", "weight", "shape", "q"]), children),
    max_leaves=12,
)


def problems(tree: dict, capacity: dict[str, int] | None = None) -> str:
    """Return the message of the validation error for an invalid tree."""
    with pytest.raises(ConfigurationError) as caught:
        check_configuration(read_configuration(tree), capacity)
    return str(caught.value)


def tree_with(path: str, value: object) -> dict:
    """Return a valid tree with one field replaced."""
    tree = copy.deepcopy(configuration_dict())
    parent = tree
    *parents, last = path.split(".")
    for part in parents:
        parent = parent[int(part)] if part.isdigit() else parent[part]
    parent[last] = value
    return tree


def test_valid_configuration_is_accepted() -> None:
    configuration = read_configuration(configuration_dict())
    check_configuration(configuration, {"south": 16})
    assert [team.id for team in configuration.teams] == ["owner", "other"]


@pytest.mark.parametrize(
    ("path", "value", "expected"),
    [
        ("teams.0.wieght", 1, "teams[0].wieght: is not a known field"),
        ("teams.0.weight", 0, "teams[0].weight: is 0, must be from 1 to 1000"),
        ("teams.0.weight", -3, "teams[0].weight: is -3"),
        ("teams.0.weight", "heavy", "teams[0].weight: 'heavy' is not allowed here"),
        ("teams.1.id", "owner", "teams[1].id: 'owner' stands twice"),
        ("teams.1.id", "No Name", "teams[1].id: must be"),
        ("teams.0.keySha256", "abc", "teams[0].keySha256: must be 64"),
        ("teams.0.guarantees.0.count", -1, "teams[0].guarantees[0].count: is -1"),
        ("teams.0.guarantees.0.shape.members", 0, "teams[0].guarantees[0].shape.members: is 0"),
        ("teams.0.guarantees.0.shape.adjacency", "HOUSE", "shape.adjacency: 'HOUSE'"),
        ("teams.0.guarantees", {"id": "x"}, "teams[0].guarantees: is not a list"),
        ("kinds.0.maxWaitMs", 0, "kinds[0].maxWaitMs: is 0"),
        ("kinds.1.id", "preview", "kinds[1].id: 'preview' stands twice"),
    ],
)
def test_error_names_invalid_field(path: str, value: object, expected: str) -> None:
    assert expected in problems(tree_with(path, value))


def test_guarantees_above_capacity_are_rejected() -> None:
    tree = tree_with("teams.0.guarantees", [guarantee_dict(count=2)])
    assert "teams[0].guarantees[0]: the guarantees of south exceed its 16" in problems(
        tree, {"south": 16}
    )


def test_region_without_workers_is_rejected() -> None:
    assert "has no workers" in problems(configuration_dict(), {"east": 16})


@given(trees)
def test_any_tree_is_accepted_or_rejected(tree: object) -> None:
    try:
        check_configuration(read_configuration(tree))
    except ConfigurationError as error:
        assert error.errors
