#!/bin/sh
# Plays the case "starve" and writes record.txt beside this file. Exits with 1 if the
# rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
if [ ! -x target/daisyhead ] || [ ! -x target/review-harness ]; then
	echo "build the system as in deploy/system.toml, then run review/build.sh" >&2
	exit 2
fi
exec target/review-harness starve "$here/record.txt"
