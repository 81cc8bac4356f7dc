#!/bin/sh
# Case 5: two of five stores are killed at the same moment and return after 4.9 s with their disks.
# Exit status: 1 the rule was broken, 0 it held, 2 the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2-lab ] && [ -x target/emberquay ] || { echo "build first: deploy/system.toml, review/build-2.sh"; exit 2; }
exec target/review-2-lab two-stores-down review/5/record.txt
