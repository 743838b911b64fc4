#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/hemlocklead ] && [ -x target/review/case ] || exit 2
HEMLOCKLEAD_BIN="$PWD/target" exec target/review/case many-ends review/5/record.txt
