"""Builders of odd data from outside: malformed documents, and values out of range."""

import json
from collections.abc import Iterator

from fleet_builders import configuration_bytes, runner_fields
from hypothesis import strategies as st

from carawayroute_standins.fleet.taskrunner import make_runner

DEPTH = 3_000
DEEP = "[" * DEPTH + "]" * DEPTH
DEEP_OBJECT = '{"a":' * DEPTH + "1" + "}" * DEPTH
HUGE_NUMBER = "1" + "0" * 400
# Python refuses to convert integers with more than 4,300 digits.
UNCONVERTIBLE_NUMBER = "9" * 5_000
ODD_FRAGMENTS = (
    DEEP,
    DEEP_OBJECT,
    "[" * DEPTH,
    HUGE_NUMBER,
    "-" + HUGE_NUMBER,
    UNCONVERTIBLE_NUMBER,
    str(2**70),
    str(2**63),
    str(2**32),
    "-1",
    "0",
    "1.5",
    "1e999",
    "-1e999",
    "1e30",
    "NaN",
    "Infinity",
    "true",
    "null",
    "[]",
    "{}",
    '""',
    '"\\ud800"',
    '"\\u0000"',
    '"x\\r\\ny"',
    json.dumps("x" * 300_000),
    json.dumps(["x"] * 20_000),
    '"127.0.0.1:70000"',
    "[[]]",
    '[{"name": 1}]',
)
PLACEHOLDER = "@odd@"
Path = tuple[str | int, ...]


def paths_in(value: object, path: Path = ()) -> Iterator[Path]:
    """Yield the paths to all values in a JSON document, also those inside of others."""
    yield path
    children: Iterator[tuple[str | int, object]] = iter(())
    if isinstance(value, dict):
        children = iter(value.items())
    elif isinstance(value, list):
        children = iter(enumerate(value))
    for key, child in children:
        yield from paths_in(child, (*path, key))


def with_fragment(document: object, path: Path, fragment: str) -> bytes:
    """Return an encoded JSON document in which the value at a path is a given JSON text."""
    copied = json.loads(json.dumps(document))
    if not path:
        return fragment.encode()
    parent = copied
    for key in path[:-1]:
        parent = parent[key]
    parent[path[-1]] = PLACEHOLDER
    return json.dumps(copied).replace(json.dumps(PLACEHOLDER), fragment).encode()


def odd_variants(document: object) -> st.SearchStrategy[bytes]:
    """Return a strategy of documents with one value that is odd in its place."""
    return st.builds(
        with_fragment,
        st.just(document),
        st.sampled_from(list(paths_in(document))),
        st.sampled_from(ODD_FRAGMENTS),
    )


def json_documents() -> st.SearchStrategy[bytes]:
    """Return a strategy of any JSON documents, including numbers that JSON does not allow."""
    leaves = st.none() | st.booleans() | st.integers() | st.floats() | st.text()
    values = st.recursive(
        leaves, lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner), max_leaves=20
    )
    return values.map(lambda value: json.dumps(value).encode())


def odd_bytes(document: object) -> st.SearchStrategy[bytes]:
    """Return a strategy of variants of a document, of any JSON, and of any bytes."""
    return odd_variants(document) | json_documents() | st.binary(max_size=200)


def runner_entry(**changes: object) -> bytes:
    """Return a runner's entry as the platform stores it, with some fields changed."""
    return json.dumps({**runner_fields(make_runner("w1", "r1-0")), **changes}).encode()


def runner_entry_with(path: Path, fragment: str) -> bytes:
    """Return a runner's entry in which the value at a path is a given JSON text."""
    fields = {**runner_fields(make_runner("w1", "r1-0")), "born": 1}
    return with_fragment(fields, path, fragment)


REPORT = {
    "clock_ms": 482_113,
    "born": 1,
    "running": [["5c0e7a21d94b36f8.0.1.17", 2, "00000bb87a21d94b", 41, 7.5]],
    "finished": [[58, "5c0e7a21d94b36f8.0.1.9", 1, "done", ""]],
}


CONFIGURATION = json.loads(configuration_bytes())


NEWEST_PAGE = {
    "items": [{"key": "a/1", "value": "dg==", "offset": 4}],
    "has_more": False,
    "end": 6,
}
APPENDED = {"offset": 840, "end": 842}
