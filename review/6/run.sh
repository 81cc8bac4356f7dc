#!/bin/sh
# Case 6: all control planes are killed at the same moment; the configuration is large.
# Exit status: 1 the rule was broken, 0 it held, 2 the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2-lab ] && [ -x target/emberquay ] || { echo "build first: deploy/system.toml, review/build-2.sh"; exit 2; }
exec target/review-2-lab large-configuration review/6/record.txt
