#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not be played.
# TROUBLE=0 plays the same without the disruption.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
[ -x target/daisyhead ] && [ -x target/review-2/reviewcase ] || { echo "build first: see review/build-2.sh" >&2; exit 2; }
exec target/review-2/reviewcase lost "$here"
