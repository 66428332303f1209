#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x bin/chuteweir ] || { echo "bin/chuteweir is not built" >&2; exit 2; }
[ -x review/bin/3 ] || sh review/build.sh || exit 2
exec review/bin/3 review/3/record.txt
