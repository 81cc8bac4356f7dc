#!/bin/sh
# Case 4: a store machine is replaced, and one catch_up_s later another store loses its disk.
# Exit status: 1 the rule was broken, 0 it held, 2 the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2-lab ] && [ -x target/emberquay ] || { echo "build first: deploy/system.toml, review/build-2.sh"; exit 2; }
exec target/review-2-lab replaced-store review/4/record.txt
