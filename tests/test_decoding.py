"""The checks that all data from outside the program passes."""

import json
import time

import pytest
from hypothesis import given
from hypothesis import strategies as st
from odd_builders import DEEP, DEEP_OBJECT, HUGE_NUMBER, UNCONVERTIBLE_NUMBER, json_documents

from carawayroute.fleet.exceptions import FormatError
from carawayrouted.platform import decoding


def nested(depth: int) -> bytes:
    """Return lists in lists."""
    return b"[" * depth + b"]" * depth


def test_depth_is_limited_wherever_it_is_decoded():
    assert decoding.decode_json(nested(decoding.MAX_DEPTH))
    with pytest.raises(FormatError):
        decoding.decode_json(nested(decoding.MAX_DEPTH + 1))


def test_brackets_in_texts_are_not_nesting():
    document = {"a\\": '"[{' * 5_000, "b": ["[" * 5_000, {}]}
    assert decoding.decode_json(json.dumps(document).encode()) == document
    wide = [[{"a": [1]}]] * 500
    assert decoding.decode_json(json.dumps(wide).encode()) == wide


@pytest.mark.parametrize("text", ["[" * 65 + '"' + '\\"' * 100_000, '"' * 200_001 + "[" * 65])
def test_unclosed_text_is_refused_in_linear_time(text):
    began_s = time.process_time()
    with pytest.raises(FormatError):
        decoding.decode_json(text.encode())
    assert time.process_time() - began_s < 0.5


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\xff",
        b'"\xed\xa0\x80"',
        "[1]".encode("utf-16"),
        b"[NaN]",
        b"[-Infinity]",
        b"[1",
        DEEP.encode(),
        DEEP_OBJECT.encode(),
        UNCONVERTIBLE_NUMBER.encode(),
    ],
)
def test_document_that_is_not_json_is_refused(data):
    with pytest.raises(FormatError) as caught:
        decoding.decode_json(data)
    assert len(str(caught.value)) < 200


def test_document_above_its_size_is_refused():
    assert decoding.decode_json(b'"12"', max_bytes=4) == "12"
    with pytest.raises(FormatError):
        decoding.decode_json(b'"123"', max_bytes=4)


@given(st.binary(max_size=300) | json_documents())
def test_any_bytes_are_decoded_or_refused(data):
    try:
        value = decoding.decode_json(data)
    except FormatError:
        return
    assert json.loads(data) == value


@given(json_documents())
def test_each_check_gives_its_type_or_refuses_the_value(data):
    try:
        value = decoding.decode_json(data)
    except FormatError:
        return
    checks = (
        (lambda: decoding.check_whole(value, "x", 0, 9), lambda found: found in range(10)),
        (lambda: decoding.check_number(value, "x", 0, 9), lambda found: 0 <= found <= 9),
        (lambda: decoding.check_text(value, "x", 9), lambda found: len(found.encode()) <= 9),
        (lambda: decoding.check_list(value, "x", 9), lambda found: len(found) <= 9),
        (lambda: decoding.check_object(value, "x"), lambda found: "\x00" in found or True),
    )
    for check, holds in checks:
        try:
            assert holds(check())
        except FormatError as error:
            assert len(str(error)) < 100


@pytest.mark.parametrize("text", [HUGE_NUMBER, "1e999", "true", "1.5", "-1", "10", '"1"', "[]"])
def test_number_out_of_range_is_refused(text):
    value = decoding.decode_json(text.encode())
    with pytest.raises(FormatError):
        decoding.check_whole(value, "x", 0, 9)


def test_optional_fields_have_defaults_and_others_are_required():
    fields = decoding.decode_object(b'{"none": null, "count": 2.0, "on": true}')
    assert (fields.whole("count", 0, 9), fields.whole("none", 0, 9, default=7)) == (2, 7)
    assert (fields.flag("on"), fields.flag("none"), fields.items("none", default=[])) == (
        True,
        False,
        [],
    )
    for getter in (fields.text, fields.items, fields.address):
        with pytest.raises(FormatError, match="none is missing"):
            getter("none")


@pytest.mark.parametrize(
    ("text", "value"),
    [("5", 5), ("-5", 0), ("1e9", 60), ("nan", 3), ("1e999", 3), ("-inf", 3), ("x", 3), ("", 3)],
)
def test_number_in_a_header_is_finite_and_in_range(text, value):
    assert decoding.parse_decimal(text, 0, 60, default=3) == value
