#!/bin/sh
# Plays a case of the third review: play-3.sh N NAME, from review/N/run.sh.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/.." || exit 2
[ -x target/release/teaselchute-entry ] && [ -x target/review-3/stand-ins ] || exit 2
folder=$(mktemp -d) || exit 2
child=
clean() {
    [ -z "$child" ] || kill -KILL "$child" 2>/dev/null
    # Empty unless the stand-ins were killed: the processes that they had started.
    [ ! -s "$folder/processes" ] || kill -KILL $(cat "$folder/processes") 2>/dev/null
    rm -rf "$folder"
}
trap clean EXIT
trap 'exit 2' HUP INT TERM
target/review-3/stand-ins "$2" "$folder" "review/$1/record.txt" &
child=$!
wait "$child"
code=$?
child=
[ "$code" -le 1 ] || code=2
exit "$code"
