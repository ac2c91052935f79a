#!/bin/sh
# The stand-ins of the cases are the Python program common/rig.py, which uses the standard library alone and needs no
# build. The daemons are built by the command of deploy/system.toml. The case about an upgrade also needs an older
# build of the project; it is built here from the history, from the same packages.
set -e
cd "$(dirname "$0")/.."
python3 -c 'import sys; assert sys.version_info >= (3, 11), "Python 3.11 or later is needed"'
for file in review/common/rig.py review/[1-5]/case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
production=33779a4
tree=target/review/production
if git cat-file -e "$production^{commit}" 2>/dev/null; then
    mkdir -p "$tree"
    git archive "$production" | tar -x -C "$tree"
    (cd "$tree" && CARGO_TARGET_DIR=../build cargo build --release --locked --offline -p dw_sidecar)
else
    echo "commit $production is not in this checkout: the case about an upgrade cannot run"
fi
echo "the stand-ins are ready"
