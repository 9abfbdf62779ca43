#!/usr/bin/env bash
# Plays the case and exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
# TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/mulberryrelay ] && [ -x target/review-4/standin ] || { echo "build first: deploy/system.toml, review/build-3.sh"; exit 2; }
exec target/review-4/standin 13 review/13/record.txt
