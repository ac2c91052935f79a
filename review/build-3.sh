#!/bin/bash
# Prepares what the scripts of review/11 to review/15 start beside the build of deploy/system.toml. Their stand-ins are
# Python programs in review/lib-3 and in the folders of the cases; they need Python 3.9 or later and its standard library.
set -e
cd "$(dirname "$0")/.."
python3 -c 'import sys; assert sys.version_info >= (3, 9), sys.version'
for file in review/lib-3/*.py review/1[1-5]/*.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file"
done
