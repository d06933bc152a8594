#!/usr/bin/env bash
# Runs the case; TROUBLE=0 leaves out the disruption. Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
here=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
root=$(cd "$here/../.." && pwd)
[ -f "$root/target/corneltrack.jar" ] && [ -d "$root/target/review-2" ] || exit 2
timeout -k 5 110 java -Xmx512m -cp "$root/target/review-2" Crowd "$root" "$here" log
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
