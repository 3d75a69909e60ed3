#!/bin/sh
# An engine crashes while another one fails part of its requests: see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-cases ] && [ -x target/cassiaspoke ] || { echo "build first: deploy build and review/build.sh" >&2; exit 2; }
exec target/review-cases resume target/cassiaspoke "${RECORD:-review/2/record.txt}"
