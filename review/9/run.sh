#!/bin/sh
# Plays the case with the project's own programs as separate processes on loopback addresses. TROUBLE=0 leaves the disruption out.
# Needs the build of the deploy file and review/build-2.sh. Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
here=$(cd "$(dirname "$0")" && pwd)
REVIEW_ROOT=$(cd "$here/../.." && pwd)
REVIEW_RECORD=$here/record.txt
export REVIEW_ROOT REVIEW_RECORD
test -x "$REVIEW_ROOT/target/guavatrestled" && test -x "$REVIEW_ROOT/target/review-2/standin-2" || exit 2
exec "$REVIEW_ROOT/target/review-2/standin-2" late-news
