#!/bin/sh
# The case of this folder; TROUBLE=0 leaves out its disruption. Exit: 1 the rule was broken, 0 it held, 2 could not run.
cd "$(dirname "$0")/../.." && exec .venv/bin/python -B review/10/case.py
