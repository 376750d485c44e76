#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: the
# same without the disruption.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
[ -x target/fawncove ] && [ -x target/rig2 ] || exit 2
exec target/rig2 -case cancel-leaders -program target/fawncove -record "$here/record.txt"
