#!/usr/bin/env bash
# Needs the build of the deploy file and of review/build-2.sh. TROUBLE=0 plays the case without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/hemlocklead ] && [ -x build/review/LateStartAtRestartedMinion ] || exit 2
HEMLOCKLEAD_BIN=$PWD/target exec build/review/LateStartAtRestartedMinion review/7
