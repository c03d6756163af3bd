#!/bin/sh
# Exit code 1: requests ran on more workers than their route allows; 0: at most three did; 2: the case could not run.
cd "$(dirname "$0")/../.." || exit 2
program=target/review-2/review-2
[ -x "$program" ] && [ -x target/bin/figreach-direct ] || exit 2
if [ "${TROUBLE:-1}" = 0 ]; then
    exec "$program" attempts review/8 --no-trouble
fi
exec "$program" attempts review/8
