#!/bin/sh
# Plays the case; TROUBLE=0 plays it without the disruption. Exits with 1 if the rule was broken, 0 if it held, and 2 if
# the case couldn't run.
folder=$(cd "$(dirname "$0")" && pwd)
programs=$(cd "$folder/../.." && pwd)/target
[ -x "$programs/review-1" ] || exit 2
exec "$programs/review-1" "$programs" "$folder"
