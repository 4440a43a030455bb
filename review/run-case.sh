#!/bin/sh
# run-case.sh CASE FOLDER: plays a case with its record in the folder. It exits with 1 if the
# rule was broken, 0 if it held and 2 if the case could not run.
cd "$(dirname "$0")/.." || exit 2
[ -x bin/gannetchute ] || {
	echo "bin/gannetchute is not built"
	exit 2
}
[ -x review/bin/standin ] || sh review/build.sh || exit 2
timeout -k 2 115 review/bin/standin "$1" "$2" "$PWD"
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
