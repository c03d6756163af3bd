#!/usr/bin/env bash
# Runs one case: run-case.sh NAME FOLDER. Exits with 1 if the rule was broken, 0 if it held, 2 if the
# case could not run. TROUBLE=0 leaves the disruption out. Writes FOLDER/record.txt.
# LOGS=DIR keeps the settings and logs of the hosts there.
set -u
name=$1
record=$(cd "$2" && pwd)/record.txt
cd "$(dirname "$0")/.." || exit 2
readonly program=target/bin/figreach-direct stand_in=target/review/review-case time_limit_s=115
for needed in "$program" "$stand_in"; do
  if [ ! -x "$needed" ]; then
    echo "$needed is missing: run the build of the deploy file and review/build.sh"
    exit 2
  fi
done
folder=$(mktemp -d) || exit 2
# timeout makes a process group of its own, to which the stand-in and the hosts belong.
set -m
timeout -s KILL "$time_limit_s" "$stand_in" "$name" "$program" "$folder" "$record" "${TROUBLE:-1}" &
group=$!
set +m
wait "$group"
result=$?
kill -KILL -- "-$group" 2>/dev/null
[ -z "${LOGS:-}" ] || { mkdir -p "$LOGS" && cp "$folder"/* "$LOGS"; }
rm -rf "$folder"
[ "$result" -le 1 ] && exit "$result"
exit 2
