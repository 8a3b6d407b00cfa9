#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")" || exit 2
root=$(cd ../.. && pwd)
[ -x "$root/target/sesameledged" ] && [ -x "$root/target/review-2/sim2" ] || exit 2
exec "$root/target/review-2/sim2" -case lapse -root "$root" -record record.txt
