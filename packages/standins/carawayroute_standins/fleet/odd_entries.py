"""Odd entries among those of the runners, as another writer might leave them."""

import json

NESTING_DEPTH = 3_000


def odd_entries(entry: bytes) -> dict[str, bytes]:
    """Return odd variants of a runner's entry by what is odd about them.

    None of them names a runner that could be used.
    """
    fields = json.loads(entry)
    host, _, port = fields["address"].rpartition(":")

    def change(**changes: object) -> bytes:
        return json.dumps({**fields, **changes}).encode()

    def change_capacity(**changes: object) -> bytes:
        return change(capacity={**fields["capacity"], **changes})

    def substitute(name: str, text: str) -> bytes:
        return change(**{name: "SUBSTITUTE"}).replace(b'"SUBSTITUTE"', text.encode())

    return {
        "empty object": b"{}",
        "not JSON": b'{"service": ',
        "not UTF-8": b"\xff\xfe" + entry,
        "list": json.dumps([fields]).encode(),
        "number": b"17",
        "deeply nested": b"[" * NESTING_DEPTH + b"]" * NESTING_DEPTH,
        "deeply nested field": substitute("labels", "[" * NESTING_DEPTH + "]" * NESTING_DEPTH),
        "no capacity": json.dumps(
            {name: value for name, value in fields.items() if name != "capacity"}
        ).encode(),
        "labels are text": change(labels="r1-0"),
        "unknown state": change(state="asleep"),
        "service is a list": change(service=["render"]),
        "port 0": change(address=f"{host}:0"),
        "port out of range": change(address=f"{host}:70000"),
        "port of 40 digits": change(address=f"{host}:" + "9" * 40),
        "port with a superscript digit": change(address=f"{host}:{port}²"),
        "address without a port": change(address=host),
        "host with a path": change(address=f"{host}/path:{port}"),
        "cpu of 400 digits": change_capacity(cpu=10**400),
        "cpu of 64 bits": change_capacity(cpu=2**63),
        "infinite cpu": change_capacity(cpu=float("inf")),
        "cpu is not a number": change_capacity(cpu=float("nan")),
        "negative accelerators": change_capacity(gpu=-1),
        "start of 70 bits": change(born=2**70),
        "start with an exponent": substitute("born", "1e999"),
    }
