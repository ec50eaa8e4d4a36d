#!/usr/bin/env bash
# Plays the case; TROUBLE=0 plays it without the disruption. Exits with 1 if the rule was broken, 0 if it held, 2 if it
# could not run. Needs the build of the deploy file and review/build-2.sh.
set -u
cd "$(dirname "$0")/../.."
[ -x target/release/kumquatquayd ] && [ -x target/review-2/release/review-2 ] || exit 2
exec target/review-2/release/review-2 leaving review/7/record.txt
