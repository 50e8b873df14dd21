#!/bin/sh
# Plays case 3 and exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out. It needs the build of the deploy file and review/build.sh.
here="$(cd "$(dirname "$0")" && pwd)" || exit 2
root="$(cd "$here/../.." && pwd)" || exit 2
dir="$(mktemp -d)" || exit 2
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
"$root/review/bin/stand" -root "$root" -dir "$dir" -record "$here/record.txt" -trouble="$trouble" 3 &
stand=$!
trap 'kill "$stand" 2>/dev/null' INT TERM
wait "$stand"
code=$?
rm -rf "$dir"
case "$code" in 0|1) exit "$code" ;; *) exit 2 ;; esac
