#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
here=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
timeout -k 5 110 java -cp "$here/../../target/review" review.Leaving "$here"
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
