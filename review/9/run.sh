#!/bin/sh
# Exit code 1: an order that had run was refused as not run; 0: none was; 2: the case could not run.
cd "$(dirname "$0")/../.." || exit 2
program=target/review-2/review-2
[ -x "$program" ] && [ -x target/bin/figreach-direct ] || exit 2
if [ "${TROUBLE:-1}" = 0 ]; then
    exec "$program" plain-503 review/9 --no-trouble
fi
exec "$program" plain-503 review/9
