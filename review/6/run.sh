#!/bin/bash
# Runs the case: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# With TROUBLE=0 nothing is disrupted. Build the program and review/build-2.sh first.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/parsleythread ] && [ -x target/review-2/stand-2 ] || exit 2
REVIEW_PROCESSES=$(mktemp) || exit 2
export REVIEW_PROCESSES
timeout 110 target/review-2/stand-2 returned-under-its-id review/6/record.txt
status=$?
if [ "$status" -gt 1 ]; then
    # The stand-ins ended before they could end the processes that they had started.
    while read -r process; do
        grep -qs parsleythread "/proc/$process/comm" && kill -9 "$process"
    done <"$REVIEW_PROCESSES"
    status=2
fi
rm -f "$REVIEW_PROCESSES"
exit "$status"
