"""Generate the message and settings modules of carawayroute_schema from the files in schema/."""

import pathlib
import sys

import yaml
from grpc_tools import protoc

ROOT = pathlib.Path(__file__).resolve().parent.parent
TARGET = ROOT / "packages" / "schema" / "carawayroute_schema"

HEADER = '''"""Settings of carawayrouted, generated from schema/settings.yaml."""

from carawayroute_schema.setting import Setting

BY_NAME = {
'''


def generate_messages() -> None:
    """Compile the protobuf files in schema/ and make the gRPC module's import absolute."""
    arguments = [
        "protoc",
        f"-I{ROOT / 'schema'}",
        f"--python_out={TARGET}",
        f"--pyi_out={TARGET}",
    ]
    services = f"--grpc_python_out={TARGET}"
    if protoc.main([*arguments, services, "carawayroute.proto"]) != 0:
        sys.exit("protoc failed")
    if protoc.main([*arguments, "records.proto"]) != 0:
        sys.exit("protoc failed")
    grpc_module = TARGET / "carawayroute_pb2_grpc.py"
    text = grpc_module.read_text()
    text = text.replace(
        "import carawayroute_pb2 as", "from carawayroute_schema import carawayroute_pb2 as"
    )
    grpc_module.write_text(text)


def generate_settings() -> None:
    """Write settings.py with one `Setting` for each entry of schema/settings.yaml."""
    entries = yaml.safe_load((ROOT / "schema" / "settings.yaml").read_text())
    lines = [HEADER]
    for entry in entries:
        arguments = ", ".join(f"{name}={value!r}" for name, value in entry.items())
        lines.append(f"    {entry['name']!r}: Setting({arguments}),\n")
    lines.append("}\n")
    (TARGET / "settings.py").write_text("".join(lines))


if __name__ == "__main__":
    generate_messages()
    generate_settings()
