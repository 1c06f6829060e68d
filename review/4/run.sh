#!/usr/bin/env bash
# Exits with 1 if the rule of claim.txt was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 plays the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/garnetd ] && [ -x target/standin2 ] || { echo "target/garnetd or target/standin2 is missing" >&2; exit 2; }
trouble=true
[ "${TROUBLE-1}" != 0 ] || trouble=false
timeout -k 10 100 target/standin2 -case watch-cuts -daemon target/garnetd -record review/4/record.txt -trouble="$trouble"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
