#!/usr/bin/env bash
# Builds what the scripts of cases 11 to 15 start besides the programs of the deploy file. Their
# stand-ins are Python programs of review/standins-3, which need no build; this checks that they
# can be read and that the daemon is there.
set -euo pipefail
cd "$(dirname "$0")/.."
test -x target/packages/daemon/coltsfoottided
python3 -B -c 'import ast, glob, sys
assert sys.version_info >= (3, 11), "Python 3.11 is needed"
for it in glob.glob("review/standins-3/*.py") + glob.glob("review/1[1-5]/*.py"):
    ast.parse(open(it).read(), it)'
