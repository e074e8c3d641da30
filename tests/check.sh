#!/bin/sh
# The whole test run: format, lint, types, tests (the line limits and a start of the deploy file's sim among them).
set -eu
cd "$(dirname "$0")/.."
python -m ruff format --check .
python -m ruff check .
python -m mypy
python -m pytest
