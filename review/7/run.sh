#!/bin/sh
# Exits with 1 if ORDER was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 plays it without the crash.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
[ -x target/citronspread ] && [ -x target/driver2 ] || exit 2
exec target/driver2 plain "$here/record.txt"
