#!/usr/bin/env bash
# Plays the case and writes record.txt: see claim.txt. TROUBLE=0 leaves the disruption out.
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
target/review-2/stand-ins spoiled-event "$here/record.txt"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
