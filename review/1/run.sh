#!/usr/bin/env bash
# Plays the case for about 30 s: exits with 1 if the rule was broken, 0 if it held, 2 if it could not
# run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/garnetd ] && [ -x target/review-standin ] || exit 2
trouble=true
[ "${TROUBLE-1}" != 0 ] || trouble=false
exec target/review-standin -case late -trouble="$trouble" -record review/1/record.txt >/dev/null
