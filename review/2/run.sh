#!/bin/sh
# Plays the case; see claim.txt. TROUBLE=0 leaves the disruption out. KEEP=1 keeps the hosts' logs.
cd "$(dirname "$0")/../.." || exit 2
exec target/review/trial twice review/2/record.txt
