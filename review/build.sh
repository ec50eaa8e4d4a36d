#!/bin/sh
# Builds the stand-ins that the scripts of the cases start. They need the standard library only. What the
# compiler writes names folders of the machine, so it goes to the ignored target folder of the repository.
set -e
cd "$(dirname "$0")/standins"
exec cargo build --release --locked --offline --target-dir ../../target/review
