#!/bin/sh
# Plays the case; TROUBLE=0 plays it without the disruption. Needs target/ of the deploy
# file's build and of review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
exec target/world -case address-reused -record review/1/record.txt
