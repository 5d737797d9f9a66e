"""Odd answers of the store: each call ends with its result or with an error of the store."""

import asyncio
import base64
import json
import struct

import pytest
from aiohttp import web
from hypothesis import given
from hypothesis import strategies as st
from odd_builders import (
    APPENDED,
    DEEP,
    HUGE_NUMBER,
    NEWEST_PAGE,
    ODD_FRAGMENTS,
    odd_bytes,
    with_fragment,
)
from test_adapters import AppServer

from carawayroute.fleet.exceptions import (
    StoreConflictError,
    StoreError,
    StoreFencedError,
    StoreRejectedError,
    StoreSequenceError,
    StoreTrimmedError,
    StoreUnansweredError,
)
from carawayroute.fleet.ports import RecordPage
from carawayrouted.platform import store
from carawayrouted.platform.http import HttpPool, Reply
from carawayrouted.platform.store import HttpStore, _decode_records, _encode_record

CALLS = {
    "append": lambda client: client.append("keyed.t", [("a", b"1")]),
    "fence": lambda client: client.append("keyed.t", [], producer="p", epoch=2),
    "read": lambda client: client.read("keyed.t", 0, 0),
    "newest": lambda client: client.newest("keyed.t"),
}


class OddPool:
    """Answers each call with the next of some replies, the last one again and again."""

    def __init__(self, *replies: Reply) -> None:
        self._replies = list(replies)
        self.calls: list[str] = []

    async def call(self, method, url, *args, **kwargs) -> Reply:
        """Return the next reply."""
        self.calls.append(url)
        assert len(self.calls) < 50, "the client asks without an end"
        return self._replies.pop(0) if len(self._replies) > 1 else self._replies[0]


def ask(call: str, *replies: Reply):
    """Return what a call makes of some replies: its result or an exception."""
    try:
        return asyncio.run(CALLS[call](HttpStore(OddPool(*replies), "store:1")))
    except Exception as error:
        return error


@pytest.mark.parametrize("call", CALLS)
@pytest.mark.parametrize("status", [200, 409, 410, 412, 500])
@pytest.mark.parametrize(
    "body", [DEEP.encode(), b"", b"{}", b"[]", b"null", b"7", b"\xff", b"x" * 15]
)
def test_answer_that_cannot_be_read_is_an_error_of_the_store(call, status, body):
    """RecursionError left the client and ended the follower or the writer that had called it."""
    assert isinstance(ask(call, Reply(status, body)), StoreError)


def test_answers_are_decoded():
    appended = ask("append", Reply(200, json.dumps(APPENDED).encode()))
    assert (appended.offset, appended.end) == (840, 842)
    # An append without records tells the end.
    assert ask("fence", Reply(200, b'{"end": 842}')).end == 842
    page = ask("newest", Reply(200, json.dumps(NEWEST_PAGE).encode()))
    assert [(one.key, one.value, one.offset) for one in page.records] == [("a/1", b"v", 4)]
    assert (page.next_offset, page.end) == (6, 6)


@pytest.mark.parametrize("name", ["offset", "end"])
@pytest.mark.parametrize(
    "fragment", ["null", "true", "-1", "1.5", '"842"', HUGE_NUMBER, str(2**63), "NaN"]
)
def test_append_without_a_usable_offset_is_unanswered(name, fragment):
    """An offset that was missing counted as 0."""
    body = with_fragment(APPENDED, (name,), fragment)
    assert isinstance(ask("append", Reply(200, body)), StoreUnansweredError)


@pytest.mark.parametrize(
    ("body", "expected"),
    [
        (b'{"reason": "fenced"}', StoreFencedError),
        (b'{"reason": "seq", "sequence": 4}', StoreSequenceError),
        (b'{"reason": "seq"}', StoreUnansweredError),
        (b'{"reason": "seq", "sequence": -4}', StoreUnansweredError),
        (b'{"reason": 7}', StoreUnansweredError),
        (b'{"reason": "other"}', StoreUnansweredError),
        (b"", StoreUnansweredError),
    ],
)
def test_refused_append_is_fenced_only_if_the_store_says_so(body, expected):
    """A refusal that cannot be read counted as fenced, after which a writer never writes again."""
    assert type(ask("append", Reply(409, body))) is expected


@pytest.mark.parametrize("fragment", ["null", HUGE_NUMBER, "-1", '"6"'])
def test_end_of_a_conflict_that_cannot_be_read_is_unknown(fragment):
    error = ask("append", Reply(412, b'{"end": %s}' % fragment.encode()))
    assert isinstance(error, StoreConflictError)
    assert error.end == -1


def test_trimmed_read_tells_the_first_offset():
    assert ask("read", Reply(410, b'{"first": 7}')).first == 7


@pytest.mark.parametrize(
    "fragment", [fragment for fragment in ODD_FRAGMENTS if fragment not in ("0", "[]", "null")]
)
@pytest.mark.parametrize("path", [("items",), ("items", 0), ("end",), ("items", 0, "offset")])
def test_page_with_an_odd_value_is_an_error_of_the_store(path, fragment):
    body = with_fragment(NEWEST_PAGE, path, fragment)
    found = ask("newest", Reply(200, body))
    if isinstance(found, StoreError):
        return
    assert all(0 <= record.offset < 2**63 for record in found.records)
    assert 0 <= found.end < 2**63


@pytest.mark.parametrize("value", ['"d"', '"dg"', '"=="', '"ä"', "7", "null"])
def test_value_that_is_not_base64_is_an_error_of_the_store(value):
    """Characters that base64 does not have were skipped, and the rest taken for the value."""
    body = with_fragment(NEWEST_PAGE, ("items", 0, "value"), value)
    assert isinstance(ask("newest", Reply(200, body)), StoreError)


def test_empty_key_and_value_are_accepted():
    page = {**NEWEST_PAGE, "items": [{"key": "", "value": "", "offset": 0}]}
    found = ask("newest", Reply(200, json.dumps(page).encode()))
    assert [(one.key, one.value) for one in found.records] == [("", b"")]


def test_page_with_an_odd_key_is_loaded_and_continued_after_it():
    """A key with a lone surrogate could not be put in the next page's URL."""
    first = with_fragment(NEWEST_PAGE, ("items", 0, "key"), '"k\\udcff"')
    first = first.replace(b'"has_more": false', b'"has_more": true')
    pool = OddPool(Reply(200, first), Reply(200, json.dumps(NEWEST_PAGE).encode()))
    found = asyncio.run(HttpStore(pool, "store:1").newest("keyed.t"))
    assert [record.key for record in found.records] == ["k\ufffd", "a/1"]
    assert pool.calls[1].endswith("&depends_on=k%FF")
    assert all(record.key.encode() for record in found.records)


@pytest.mark.parametrize(
    "page", [{**NEWEST_PAGE, "has_more": True}, {"items": [], "has_more": True, "end": 6}]
)
def test_pages_that_do_not_go_on_end_the_load(page):
    assert isinstance(ask("newest", Reply(200, json.dumps(page).encode())), StoreError)


def test_page_of_500_records_is_loaded():
    value = base64.b64encode(b"v" * 1_400).decode()
    items = [{"key": f"k{number:03}", "value": value, "offset": number} for number in range(500)]
    page = ask("newest", Reply(200, json.dumps({**NEWEST_PAGE, "items": items}).encode()))
    assert len(page.records) == 500


def test_largest_record_is_read():
    body = struct.pack(">QQ", 1, 0) + _encode_record("a", b"x" * 262_142)
    found = ask("read", Reply(200, body))
    assert len(found.records[0].value) == 262_142


@pytest.mark.parametrize("header", [(2**64 - 1, 0), (2**63, 0), (5, 2**63)])
def test_offset_out_of_range_in_a_read_is_unanswered(header):
    assert type(ask("read", Reply(200, struct.pack(">QQ", *header)))) is StoreUnansweredError


@given(st.integers(0, 2**63 - 1), st.binary(max_size=80))
def test_any_frames_are_decoded_or_an_error_of_the_store(offset, body):
    try:
        page = _decode_records(body, offset)
    except StoreTrimmedError as error:
        assert offset < error.first < 2**63
        return
    except StoreUnansweredError:
        return
    assert page.next_offset == offset + len(page.records)
    assert 0 <= page.end < 2**63
    for record in page.records:
        assert record.key.encode()[:255] is not None


@given(odd_bytes(NEWEST_PAGE))
def test_any_page_is_loaded_or_an_error_of_the_store(body):
    found = ask("newest", Reply(200, body))
    if isinstance(found, StoreError):
        assert len(str(found)) < 300
        return
    assert isinstance(found, RecordPage)
    for record in found.records:
        assert isinstance(record.value, bytes)
        assert len(record.key.encode()) <= 262_144


@given(odd_bytes(APPENDED), st.sampled_from([200, 400, 409, 410, 412, 429]))
def test_any_answer_to_an_append_gives_offsets_in_range_or_an_error_of_the_store(body, status):
    found = ask("append", Reply(status, body))
    if not isinstance(found, StoreError):
        assert 0 <= found.offset < 2**63
        assert 0 <= found.end < 2**63


@pytest.mark.parametrize("key", ["x" * 256, "ä" * 128, "\ud800"])
def test_record_whose_key_cannot_be_encoded_is_rejected(key):
    """ValueError left the client, and the writer did not answer any later call."""
    client = HttpStore(OddPool(Reply(200, json.dumps(APPENDED).encode())), "store:1")
    with pytest.raises(StoreRejectedError):
        asyncio.run(client.append("keyed.t", [(key, b"1")]))


def test_http_answers_are_checked_as_well():
    async def answer(request):
        return web.Response(body=DEEP.encode())

    async def run():
        app = web.Application()
        app.router.add_get("/v1/log-newest", answer)
        pool = HttpPool()
        try:
            async with AppServer(app) as site:
                with pytest.raises(StoreError):
                    await store.HttpStore(pool, site.address).newest("keyed.t")
        finally:
            await pool.close()

    asyncio.run(run())
