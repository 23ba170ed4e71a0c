#!/usr/bin/env bash
# The stand-ins are Python programs and need no build; this checks that they can be read.
cd "$(dirname "$0")" || exit 1
for program in standin.py [1-5]/*.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$program" || exit 1
done
