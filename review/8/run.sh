#!/bin/sh
# Exits with 1 if ORDER was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 plays it without the restored store and
# without the killed host, TROUBLE=kill with the kill alone, TROUBLE=drill with the restored store alone.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
[ -x target/citronspread ] && [ -x target/driver2 ] || exit 2
exec target/driver2 order "$here/record.txt"
