#!/bin/sh
# Plays the case and exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run. TROUBLE=0 plays it without the
# disruption. Run after the build of the deploy file and review/build.sh.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
test -x target/gladepick-system && test -x target/review/rig || exit 2
exec target/review/rig lost "$folder"
