#!/usr/bin/env bash
# Runs one case: run-case.sh NAME FOLDER. Exits with 1 if the rule was broken, 0 if it held, 2 if the
# case could not run. TROUBLE=0 leaves the disruption out. Writes FOLDER/record.txt.
set -u
name=$1
case_folder=$(cd "$2" && pwd)
cd "$(dirname "$0")/.." || exit 2
readonly program=target/bin/figreach-direct stand_in=target/review/review-case time_limit_s=115
for needed in "$program" "$stand_in"; do
  [ -x "$needed" ] || { echo "$needed is missing: run the build of the deploy file and review/build.sh"; exit 2; }
done
folder=$(mktemp -d) || exit 2
# The stand-in and the hosts that it starts form a process group of their own.
set -m
"$stand_in" "$name" "$program" "$folder" "$case_folder/record.txt" "${TROUBLE:-1}" &
group=$!
set +m
(sleep "$time_limit_s"; kill -KILL -- "-$group") 2>/dev/null &
watchdog=$!
wait "$group"
result=$?
kill -KILL -- "-$group" 2>/dev/null
pkill -P "$watchdog" 2>/dev/null
kill "$watchdog" 2>/dev/null
rm -rf "$folder"
[ "$result" -le 1 ] && exit "$result"
exit 2
