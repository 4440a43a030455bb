#!/bin/sh
# Plays the case of claim.txt; TROUBLE=0 leaves the disruption out. Exits with 1 if the rule was
# broken, 0 if it held, 2 if the case could not run. Writes record.txt beside this file.
cd "$(dirname "$0")/../.." || exit 2
[ -x bin/gannetchute ] && [ -x bin/review2-standins ] || {
	echo "build first: the deploy file's build, then review/build-2.sh"
	exit 2
}
exec bin/review2-standins text review/10
