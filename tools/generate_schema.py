"""Generates the schema package's Python code from its .proto files."""

import pathlib
import sys

from grpc_tools import protoc

_SOURCE = pathlib.Path('packages/amaranthflow-schema/src')
_PROTO = _SOURCE / 'amaranthflow_schema/proto'


def main():
    """Compiles all schema files with protoc; returns its exit code."""
    files = sorted(str(p) for p in _PROTO.rglob('*.proto'))
    return protoc.main(
        [
            'protoc',
            f'-I{_PROTO}',
            f'--python_out={_SOURCE}',
            f'--pyi_out={_SOURCE}',
            f'--grpc_python_out={_SOURCE}',
            *files,
        ]
    )


if __name__ == '__main__':
    sys.exit(main())
